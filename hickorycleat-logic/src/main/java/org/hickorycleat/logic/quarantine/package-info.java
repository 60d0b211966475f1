/** Quarantine of workers that fail everything, and rejection of jobs that fail everywhere. */
@NullMarked
package org.hickorycleat.logic.quarantine;

import org.jspecify.annotations.NullMarked;
