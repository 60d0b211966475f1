/** Jobs of steps that callers submit, their tasks, and the workers that run them. */
@NullMarked
package org.hickorycleat.model.job;

import org.jspecify.annotations.NullMarked;
