/** Jobs as an entry knows them from the log and from its peers. */
@NullMarked
package org.hickorycleat.logic.directory;

import org.jspecify.annotations.NullMarked;
