/** HTTP towards operators. */
@NullMarked
package org.hickorycleat.daemon.http;

import org.jspecify.annotations.NullMarked;
