/** Numbered result codes and the request outcomes that they imply. */
@NullMarked
package org.hickorycleat.model.result;

import org.jspecify.annotations.NullMarked;
