/** Appends to and follows streams of a log service that can lose responses and have outages. */
@NullMarked
package org.hickorycleat.logic.log;

import org.jspecify.annotations.NullMarked;
