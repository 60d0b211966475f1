/** The configuration that a process has in force, and how it learns and preserves it. */
@NullMarked
package org.hickorycleat.logic.configuration;

import org.jspecify.annotations.NullMarked;
