/** Commands that use the admin HTTP interface of entries and agents. */
@NullMarked
package org.hickorycleat.cli.admin;

import org.jspecify.annotations.NullMarked;
