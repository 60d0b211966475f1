/** Load generator for the per-agent costs in docs/CAPACITY.md. */
@NullMarked
package org.hickorycleat.measurements.capacity;

import org.jspecify.annotations.NullMarked;
