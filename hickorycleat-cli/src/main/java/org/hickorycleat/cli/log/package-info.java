/** Commands that validate manifests and publish them to the log service. */
@NullMarked
package org.hickorycleat.cli.log;

import org.jspecify.annotations.NullMarked;
