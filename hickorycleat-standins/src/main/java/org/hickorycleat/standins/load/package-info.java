/** Load generator that checks each outcome against the runs recorded by the targets. */
@NullMarked
package org.hickorycleat.standins.load;

import org.jspecify.annotations.NullMarked;
