/** Client of the platform's log service over HTTP. */
@NullMarked
package org.hickorycleat.daemon.logservice;

import org.jspecify.annotations.NullMarked;
