/** Selection of the target that serves a request. */
@NullMarked
package org.hickorycleat.logic.routing;

import org.jspecify.annotations.NullMarked;
