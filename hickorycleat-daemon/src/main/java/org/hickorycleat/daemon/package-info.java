/** Entry point, lifecycle and signal handling of the daemon. */
@NullMarked
package org.hickorycleat.daemon;

import org.jspecify.annotations.NullMarked;
