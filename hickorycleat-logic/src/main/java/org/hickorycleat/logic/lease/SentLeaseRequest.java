package org.hickorycleat.logic.lease;

import org.hickorycleat.model.identifier.Incarnation;

/**
 * A lease request without a response so far. A lease starts at a reading of the worker's clock
 * taken before the request, so no network delay can extend it.
 *
 * @param sentMs time of the request by the agent's clock
 * @param incarnation incarnation of the worker
 * @param workerClockMs reading of the worker's clock before the request, in milliseconds
 */
record SentLeaseRequest(long sentMs, Incarnation incarnation, long workerClockMs) {}
