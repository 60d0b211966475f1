package org.hickorycleat.logic.interference;

import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.WorkerId;

/**
 * Latency of a service instance on a worker; arrives some time after the measurement.
 *
 * @param service the service
 * @param worker the worker
 * @param measuredMs time of the measurement
 * @param latencyMs tail latency in milliseconds
 */
public record LatencyMeasurement(
        ServiceName service, WorkerId worker, long measuredMs, double latencyMs) {}
