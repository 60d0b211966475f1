/** Measurements of the placement policy and its baselines against small fakes. */
@NullMarked
package org.hickorycleat.measurements.placement;

import org.jspecify.annotations.NullMarked;
