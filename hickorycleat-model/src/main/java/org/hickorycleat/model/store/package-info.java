/** Requests to the platform's record store and their outcomes. */
@NullMarked
package org.hickorycleat.model.store;

import org.jspecify.annotations.NullMarked;
