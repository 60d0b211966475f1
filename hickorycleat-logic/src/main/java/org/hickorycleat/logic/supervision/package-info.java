/** Supervision of the runs on the worker beside an agent: orders, leases, fencing, pacing. */
@NullMarked
package org.hickorycleat.logic.supervision;

import org.jspecify.annotations.NullMarked;
