/** Settings that a process gets from the platform. */
@NullMarked
package org.hickorycleat.model.node;

import org.jspecify.annotations.NullMarked;
