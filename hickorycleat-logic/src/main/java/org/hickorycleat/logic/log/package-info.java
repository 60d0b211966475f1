/** Appending to and following streams of a log service that loses answers and has outages. */
@NullMarked
package org.hickorycleat.logic.log;

import org.jspecify.annotations.NullMarked;
