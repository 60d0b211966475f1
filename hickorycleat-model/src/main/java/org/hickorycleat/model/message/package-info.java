/** Messages that entries and agents exchange. */
@NullMarked
package org.hickorycleat.model.message;

import org.jspecify.annotations.NullMarked;
