/**
 * Estimates when places become free and decides whether waiting for one near the data pays.
 *
 * <p>The classes have no input or output; the caller reports every event and passes the time.
 */
@NullMarked
package org.hickorycleat.logic.places;

import org.jspecify.annotations.NullMarked;
