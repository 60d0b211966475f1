/** Command line for operators: dispatch, output and exit codes. */
@NullMarked
package org.hickorycleat.cli;

import org.jspecify.annotations.NullMarked;
