/** The whole placement policy: placement, corrections, interference and quarantine together. */
@NullMarked
package org.hickorycleat.logic.scheduling;

import org.jspecify.annotations.NullMarked;
