/** The daemon binary. */
@NullMarked
package org.hickorycleat.daemon;

import org.jspecify.annotations.NullMarked;
