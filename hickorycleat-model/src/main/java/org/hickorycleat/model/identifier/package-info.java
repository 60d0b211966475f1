/** Value types for the identifiers that processes exchange. */
@NullMarked
package org.hickorycleat.model.identifier;

import org.jspecify.annotations.NullMarked;
