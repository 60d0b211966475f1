/** Admission control and load shedding at the entry. */
@NullMarked
package org.hickorycleat.logic.admission;

import org.jspecify.annotations.NullMarked;
