/** Ports through which decisions reach the outside. */
@NullMarked
package org.hickorycleat.logic.port;

import org.jspecify.annotations.NullMarked;
