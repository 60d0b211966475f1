/** The agent role: serves the local targets and the local worker of a VM. */
@NullMarked
package org.hickorycleat.daemon.agent;

import org.jspecify.annotations.NullMarked;
