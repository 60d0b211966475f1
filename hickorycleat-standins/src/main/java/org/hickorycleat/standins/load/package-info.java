/** Load tool: plays callers and checks each outcome against the records of the targets. */
@NullMarked
package org.hickorycleat.standins.load;

import org.jspecify.annotations.NullMarked;
