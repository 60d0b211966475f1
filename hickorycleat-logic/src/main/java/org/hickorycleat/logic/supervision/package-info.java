/**
 * Supervision of the runs on the local worker of an agent: commands, leases, fencing, throttling.
 */
@NullMarked
package org.hickorycleat.logic.supervision;

import org.jspecify.annotations.NullMarked;
