/** Resources, tasks and the records of the placement log. */
@NullMarked
package org.hickorycleat.model.task;

import org.jspecify.annotations.NullMarked;
