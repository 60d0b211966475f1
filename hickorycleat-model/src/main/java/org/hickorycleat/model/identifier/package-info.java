/** Value types for the identifiers in messages and stored records. */
@NullMarked
package org.hickorycleat.model.identifier;

import org.jspecify.annotations.NullMarked;
