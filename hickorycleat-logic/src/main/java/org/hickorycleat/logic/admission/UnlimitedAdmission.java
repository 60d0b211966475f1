package org.hickorycleat.logic.admission;

import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;

/** Admits every request; a baseline for measurements. */
public final class UnlimitedAdmission implements AdmissionControl {
    @Override
    public Admission admit(
            ServiceName service, Criticality criticality, TeamName team, long remainingMs) {
        return new Admission.Admitted(() -> {});
    }
}
