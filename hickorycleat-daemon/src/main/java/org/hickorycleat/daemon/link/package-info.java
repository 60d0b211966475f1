/** Links that a process keeps open to entries. */
@NullMarked
package org.hickorycleat.daemon.link;

import org.jspecify.annotations.NullMarked;
