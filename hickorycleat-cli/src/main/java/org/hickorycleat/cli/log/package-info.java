/** Publication of manifests on the log service. */
@NullMarked
package org.hickorycleat.cli.log;

import org.jspecify.annotations.NullMarked;
