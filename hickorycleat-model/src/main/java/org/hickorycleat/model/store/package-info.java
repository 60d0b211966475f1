/** Calls to the store of the platform and their outcomes. */
@NullMarked
package org.hickorycleat.model.store;

import org.jspecify.annotations.NullMarked;
