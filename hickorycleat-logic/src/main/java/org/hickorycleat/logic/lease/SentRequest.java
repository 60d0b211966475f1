package org.hickorycleat.logic.lease;

import org.hickorycleat.model.identifier.Incarnation;

/**
 * A lease request that may still be answered. Leases are counted from a reading of the worker's
 * clock that precedes the request, so no delay on the way can prolong them.
 *
 * @param sentMs when it was sent, by the agent's clock
 * @param incarnation incarnation of the worker
 * @param workerClockMs reading of the worker's clock before the request
 */
record SentRequest(long sentMs, Incarnation incarnation, long workerClockMs) {}
