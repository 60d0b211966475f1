/** Stand-in of the platform's append-only log service, for tests and demonstrations. */
@NullMarked
package org.hickorycleat.standins.logservice;

import org.jspecify.annotations.NullMarked;
