/** Checks of the documentation against the code. */
@NullMarked
package org.hickorycleat.docs;

import org.jspecify.annotations.NullMarked;
