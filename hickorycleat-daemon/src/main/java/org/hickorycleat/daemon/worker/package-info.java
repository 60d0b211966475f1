/** Control of the worker on the same VM. */
@NullMarked
package org.hickorycleat.daemon.worker;

import org.jspecify.annotations.NullMarked;
