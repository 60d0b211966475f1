/** Ports through which the scheduling logic communicates with external systems. */
@NullMarked
package org.hickorycleat.logic.port;

import org.jspecify.annotations.NullMarked;
