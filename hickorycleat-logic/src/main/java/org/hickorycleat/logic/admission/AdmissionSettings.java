package org.hickorycleat.logic.admission;

import java.util.Map;
import org.hickorycleat.model.manifest.Criticality;

/**
 * Settings of {@link FairAdmissionControl}.
 *
 * @param shares guaranteed share of the limit per class; the sum is at most 1
 * @param reserveShare share of the limit that is never borrowed
 * @param queuedPerSlot waiting requests per slot beyond which the limit is lowered
 * @param limitWithoutTargets requests admitted at once when no target is known; they may be
 *     forwarded
 * @param retryBaseMs mean advised wait at the verge of overload
 * @param retryMaximumMs longest advised wait
 */
public record AdmissionSettings(
        Map<Criticality, Double> shares,
        double reserveShare,
        double queuedPerSlot,
        int limitWithoutTargets,
        long retryBaseMs,
        long retryMaximumMs) {
    /** Settings used unless others are configured. */
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

    /** Copies the collections. */
    public AdmissionSettings {
        shares = Map.copyOf(shares);
    }

    /** Returns the guaranteed share of a class. */
    public double share(Criticality criticality) {
        return shares.getOrDefault(criticality, 0.0);
    }
}
