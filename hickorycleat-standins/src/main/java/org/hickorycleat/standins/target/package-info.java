/** Stand-in of a target with limited slots, latency that grows with load, and injected faults. */
@NullMarked
package org.hickorycleat.standins.target;

import org.jspecify.annotations.NullMarked;
