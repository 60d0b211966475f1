/** Execution of requests at the local targets of an agent: slots, queues, sessions and records. */
@NullMarked
package org.hickorycleat.logic.invocation;

import org.jspecify.annotations.NullMarked;
