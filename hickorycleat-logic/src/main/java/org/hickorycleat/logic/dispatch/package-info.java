/** Decisions of the owner of the jobs: which task runs where, and what happens when runs end. */
@NullMarked
package org.hickorycleat.logic.dispatch;

import org.jspecify.annotations.NullMarked;
