/** Leases of tasks: the agent's lease manager and the owner's tracking of lease expiry. */
@NullMarked
package org.hickorycleat.logic.lease;

import org.jspecify.annotations.NullMarked;
