/** Stand-in of a worker: a process whose tasks are timers. */
@NullMarked
package org.hickorycleat.standins.worker;

import org.jspecify.annotations.NullMarked;
