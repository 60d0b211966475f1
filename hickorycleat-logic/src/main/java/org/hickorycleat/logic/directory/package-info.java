/** Durable state of jobs that an entry builds from the job log and from messages of peers. */
@NullMarked
package org.hickorycleat.logic.directory;

import org.jspecify.annotations.NullMarked;
