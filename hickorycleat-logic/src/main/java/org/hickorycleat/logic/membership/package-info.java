/** View that an entry has of agents and their targets. */
@NullMarked
package org.hickorycleat.logic.membership;

import org.jspecify.annotations.NullMarked;
