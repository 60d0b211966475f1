/** Measurements of the decisions on the request path: admission and routing. */
@NullMarked
package org.hickorycleat.measurements.requests;

import org.jspecify.annotations.NullMarked;
