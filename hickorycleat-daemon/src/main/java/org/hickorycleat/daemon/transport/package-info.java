/** Framed MessagePack over TCP between the processes of hickorycleat. */
@NullMarked
package org.hickorycleat.daemon.transport;

import org.jspecify.annotations.NullMarked;
