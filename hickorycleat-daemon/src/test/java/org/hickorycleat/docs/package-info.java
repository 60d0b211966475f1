/** Tests that compare the documentation with the code. */
@NullMarked
package org.hickorycleat.docs;

import org.jspecify.annotations.NullMarked;
