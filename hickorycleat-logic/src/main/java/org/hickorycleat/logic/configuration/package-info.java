/** Obtains, holds and preserves the active configuration of a process. */
@NullMarked
package org.hickorycleat.logic.configuration;

import org.jspecify.annotations.NullMarked;
