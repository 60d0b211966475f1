/** Placement of tasks onto workers. */
@NullMarked
package org.hickorycleat.logic.placement;

import org.jspecify.annotations.NullMarked;
