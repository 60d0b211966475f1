/** The entry role: serves callers and owns placement shards. */
@NullMarked
package org.hickorycleat.daemon.entry;

import org.jspecify.annotations.NullMarked;
