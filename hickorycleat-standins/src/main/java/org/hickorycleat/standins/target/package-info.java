/** Stand-in of a target: slots, latency that grows with load, and faults on command. */
@NullMarked
package org.hickorycleat.standins.target;

import org.jspecify.annotations.NullMarked;
