/**
 * Evacuation of availability zones at the request of the operator, and the return of their workers.
 */
@NullMarked
package org.hickorycleat.logic.evacuation;

import org.jspecify.annotations.NullMarked;
