/**
 * Scheduling policy that combines placement, run time correction, interference mitigation and
 * quarantine.
 */
@NullMarked
package org.hickorycleat.logic.scheduling;

import org.jspecify.annotations.NullMarked;
