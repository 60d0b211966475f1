/** Priority rules for batch jobs, selection of gaps and estimates of run times. */
@NullMarked
package org.hickorycleat.logic.batch;

import org.jspecify.annotations.NullMarked;
