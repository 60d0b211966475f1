/** Measurements of admission control and routing on the request path. */
@NullMarked
package org.hickorycleat.measurements.requests;

import org.jspecify.annotations.NullMarked;
