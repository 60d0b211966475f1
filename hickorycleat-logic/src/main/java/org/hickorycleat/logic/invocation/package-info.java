/** Execution of requests beside a target: slots, queue, sessions and records of what ran. */
@NullMarked
package org.hickorycleat.logic.invocation;

import org.jspecify.annotations.NullMarked;
