/** Settings of the daemon, read from an INI file and checked as a whole. */
@NullMarked
package org.hickorycleat.daemon.settings;

import org.jspecify.annotations.NullMarked;
