/** Load for the slopes of docs/CAPACITY.md. */
@NullMarked
package org.hickorycleat.measurements.capacity;

import org.jspecify.annotations.NullMarked;
