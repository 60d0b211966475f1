/** Admin HTTP server and its response types. */
@NullMarked
package org.hickorycleat.daemon.http;

import org.jspecify.annotations.NullMarked;
