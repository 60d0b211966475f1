package org.hickorycleat.logic.admission;

import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

/** Decides whether an entry accepts a request before any work is done for it. */
@FunctionalInterface
public interface AdmissionControl {
    /** Admits or rejects a request. */
    Admission admit(ServiceName service, Criticality criticality, TeamName team, long remainingMs);
}
