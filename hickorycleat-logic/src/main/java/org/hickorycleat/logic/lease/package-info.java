/** Leases of tasks, on the side of the agent and of the owner. */
@NullMarked
package org.hickorycleat.logic.lease;

import org.jspecify.annotations.NullMarked;
