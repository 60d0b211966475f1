/** Order of batch work, gap filling and corrected run times. */
@NullMarked
package org.hickorycleat.logic.batch;

import org.jspecify.annotations.NullMarked;
