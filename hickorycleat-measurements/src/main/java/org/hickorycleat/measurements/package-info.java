/** Measurements of the decision logic and of whole processes, compared with baselines. */
@NullMarked
package org.hickorycleat.measurements;

import org.jspecify.annotations.NullMarked;
