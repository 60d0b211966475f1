/** Entry and agent roles on the users' platform, and the links between them. */
@NullMarked
package org.hickorycleat.daemon.fleet;

import org.jspecify.annotations.NullMarked;
