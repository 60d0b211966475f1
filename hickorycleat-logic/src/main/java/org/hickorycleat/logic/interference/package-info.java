/** Interference between tasks that share a worker. */
@NullMarked
package org.hickorycleat.logic.interference;

import org.jspecify.annotations.NullMarked;
