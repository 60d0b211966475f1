/** Settings that a process receives from the platform. */
@NullMarked
package org.hickorycleat.model.node;

import org.jspecify.annotations.NullMarked;
