/** Logs of one key=value line an event. */
@NullMarked
package org.hickorycleat.daemon.logging;

import org.jspecify.annotations.NullMarked;
