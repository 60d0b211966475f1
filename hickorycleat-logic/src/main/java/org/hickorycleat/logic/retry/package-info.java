/** The entry's side of a request: attempts, their resolution and retries. */
@NullMarked
package org.hickorycleat.logic.retry;

import org.jspecify.annotations.NullMarked;
