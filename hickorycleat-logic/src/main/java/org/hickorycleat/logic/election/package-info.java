/** Election of the one entry that owns the jobs. */
@NullMarked
package org.hickorycleat.logic.election;

import org.jspecify.annotations.NullMarked;
