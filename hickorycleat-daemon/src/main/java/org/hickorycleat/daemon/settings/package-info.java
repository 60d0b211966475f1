/** Daemon settings, read from an INI file and validated completely before use. */
@NullMarked
package org.hickorycleat.daemon.settings;

import org.jspecify.annotations.NullMarked;
