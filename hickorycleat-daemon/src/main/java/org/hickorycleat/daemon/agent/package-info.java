/** The agent role: runs beside a target or worker. */
@NullMarked
package org.hickorycleat.daemon.agent;

import org.jspecify.annotations.NullMarked;
