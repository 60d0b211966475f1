/** Quarantine of workers on which all tasks fail, and detection of tasks that always fail. */
@NullMarked
package org.hickorycleat.logic.quarantine;

import org.jspecify.annotations.NullMarked;
