/** Commands that talk to the admin HTTP of entries and agents. */
@NullMarked
package org.hickorycleat.cli.admin;

import org.jspecify.annotations.NullMarked;
