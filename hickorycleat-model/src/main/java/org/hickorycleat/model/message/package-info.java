/** Messages that entries and agents exchange, and the values that they carry. */
@NullMarked
package org.hickorycleat.model.message;

import org.jspecify.annotations.NullMarked;
