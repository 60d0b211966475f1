package org.hickorycleat.logic.admission;

import java.util.Map;
import org.hickorycleat.model.manifest.Criticality;

/**
 * Settings of {@link FairAdmissionControl}.
 *
 * @param shares guaranteed share of the concurrency limit per class; the sum is at most 1
 * @param reserveShare share of the limit that no class may borrow
 * @param queuedPerSlot requests queued at the agents per slot above which the limit is lowered
 * @param limitWithoutTargets concurrency limit when no target is known; the requests may be
 *     forwarded to another entry
 * @param retryBaseMs mean advised retry delay in milliseconds when overload begins
 * @param retryMaximumMs longest advised retry delay in milliseconds
 */
public record AdmissionSettings(
        Map<Criticality, Double> shares,
        double reserveShare,
        double queuedPerSlot,
        int limitWithoutTargets,
        long retryBaseMs,
        long retryMaximumMs) {
    /** Default settings. */
    public static final AdmissionSettings DEFAULT =
            new AdmissionSettings(
                    Map.of(
                            Criticality.CRITICAL, 0.4,
                            Criticality.IMPORTANT, 0.3,
                            Criticality.NORMAL, 0.2,
                            Criticality.SHEDDABLE, 0.1),
                    0.02,
                    0.25,
                    16,
                    100,
                    30_000);

    /** Copies the shares. */
    public AdmissionSettings {
        shares = Map.copyOf(shares);
    }

    /** Returns the guaranteed share of a class; 0 if none is set. */
    public double share(Criticality criticality) {
        return shares.getOrDefault(criticality, 0.0);
    }
}
