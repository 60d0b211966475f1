package org.hickorycleat.logic.admission;

import java.util.Map;
import org.hickorycleat.model.manifest.Criticality;

/**
 * Admission state of a service, for the dump.
 *
 * @param limit requests that may be in flight
 * @param inFlight requests in flight
 * @param inFlightByClass the same by class
 * @param teams teams that are kept track of, counted per class
 */
public record AdmissionStatus(
        double limit, int inFlight, Map<Criticality, Integer> inFlightByClass, int teams) {
    /** Copies the collections. */
    public AdmissionStatus {
        inFlightByClass = Map.copyOf(inFlightByClass);
    }
}
