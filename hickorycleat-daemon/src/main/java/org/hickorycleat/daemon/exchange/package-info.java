/** HTTP/1.1 server and client that run on the event loops of the process. */
@NullMarked
package org.hickorycleat.daemon.exchange;

import org.jspecify.annotations.NullMarked;
