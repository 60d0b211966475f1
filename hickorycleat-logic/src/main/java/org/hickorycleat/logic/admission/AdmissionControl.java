package org.hickorycleat.logic.admission;

import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

/** Decides whether an entry takes a request before any work is spent on it. */
@FunctionalInterface
public interface AdmissionControl {
    /** Admits or refuses a request. */
    Admission admit(ServiceName service, Criticality criticality, TeamName team, long remainingMs);
}
