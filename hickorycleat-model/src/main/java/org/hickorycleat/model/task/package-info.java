/** Resources, tasks to place and the decisions of the placement policy. */
@NullMarked
package org.hickorycleat.model.task;

import org.jspecify.annotations.NullMarked;
