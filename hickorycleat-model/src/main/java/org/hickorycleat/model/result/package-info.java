/** Numbered result codes and the outcome of a request. */
@NullMarked
package org.hickorycleat.model.result;

import org.jspecify.annotations.NullMarked;
