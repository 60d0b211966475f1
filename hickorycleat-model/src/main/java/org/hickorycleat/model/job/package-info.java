/** Jobs that callers submit, their steps and tasks, and the workers that run them. */
@NullMarked
package org.hickorycleat.model.job;

import org.jspecify.annotations.NullMarked;
