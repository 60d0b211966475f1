package org.hickorycleat.logic.admission;

import java.util.Map;
import org.hickorycleat.model.manifest.Criticality;

/**
 * Admission state of a service for the state dump.
 *
 * @param limit concurrency limit
 * @param inFlight requests in flight
 * @param inFlightByClass requests in flight per class
 * @param teams number of teams with state, counted once per class
 */
public record AdmissionStatus(
        double limit, int inFlight, Map<Criticality, Integer> inFlightByClass, int teams) {
    /** Copies the map. */
    public AdmissionStatus {
        inFlightByClass = Map.copyOf(inFlightByClass);
    }
}
