/** Logging of events as lines of key=value pairs. */
@NullMarked
package org.hickorycleat.daemon.logging;

import org.jspecify.annotations.NullMarked;
