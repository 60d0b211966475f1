/** Ownership of placement shards, their records in the log, and recovery from them. */
@NullMarked
package org.hickorycleat.logic.ownership;

import org.jspecify.annotations.NullMarked;
