/** Measurements of the decisions and of whole processes, each next to its baseline. */
@NullMarked
package org.hickorycleat.measurements;

import org.jspecify.annotations.NullMarked;
