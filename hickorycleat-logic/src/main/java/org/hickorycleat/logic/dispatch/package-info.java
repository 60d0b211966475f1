/** Placement of tasks on workers by the owner of the jobs, and handling of the ends of runs. */
@NullMarked
package org.hickorycleat.logic.dispatch;

import org.jspecify.annotations.NullMarked;
