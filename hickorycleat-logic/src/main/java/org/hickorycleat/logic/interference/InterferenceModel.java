package org.hickorycleat.logic.interference;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Learns which jobs slow down which services.
 *
 * <p>The logarithm of a latency is modelled as the level of the service plus one effect for each
 * neighbour, all with normal uncertainty; a measurement changes each in proportion to its variance,
 * so that a pair known well gets little of the credit and one not known much. The level of the
 * service follows load shifts, which reach all instances, faster than the effects do. Not safe for
 * use by several threads.
 */
public final class InterferenceModel {
    private static final double PRIOR_VARIANCE = 0.25;
    private static final double NOISE_VARIANCE = 0.04;

    /**
     * Noise for the effects. Noise comes in waves, so that several measurements are worth one, and
     * the estimate leaves out that errors of the level and of an effect offset each other; with the
     * plain noise, waves alone made pairs look harmful.
     */
    private static final double EFFECT_NOISE_VARIANCE = 4 * NOISE_VARIANCE;

    /** Growth of the variance of the level for each measurement; lets it follow load shifts. */
    private static final double LEVEL_DRIFT = 0.0004;

    /**
     * Growth of the variance of an effect for each measurement; lets a changed job be relearned.
     */
    private static final double EFFECT_DRIFT = 0.000_01;

    /** Errors beyond this many deviations count as this many, as latencies have long tails. */
    private static final double CLIPPED_DEVIATIONS = 2.5;

    /** Pairs that are remembered for each service; bounds the memory of an owner. */
    private static final int MAXIMUM_PAIRS = 2_000;

    /** A slowdown by this much, with this certainty, makes a pair harmful. */
    private static final double HARMFUL = Math.log(1.05);

    private static final double HARMFUL_DEVIATIONS = 1;

    private final Map<ServiceName, ServiceRecord> mServices = new HashMap<>();
    private final Map<JobName, Set<ServiceName>> mHarms = new HashMap<>();

    private static final class Effect {
        private double mMean;
        private double mVariance = PRIOR_VARIANCE;

        PairEstimate estimate() {
            return new PairEstimate(mMean, Math.sqrt(mVariance));
        }

        void correct(double error, double gain, double share) {
            mMean += gain * error;
            mVariance -= gain * share * mVariance;
        }
    }

    private static final class ServiceRecord {
        private final Effect mLevel = new Effect();
        private boolean mStarted;
        private final Map<JobName, Effect> mEffects =
                new LinkedHashMap<>(16, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<JobName, Effect> eldest) {
                        return size() > MAXIMUM_PAIRS;
                    }
                };

        Effect effect(JobName job) {
            return mEffects.computeIfAbsent(job, key -> new Effect());
        }
    }

    /** Learns from one measurement and the neighbours at its time. */
    public void learn(ServiceName service, double latencyMs, Collection<Neighbour> neighbours) {
        if (latencyMs <= 0) {
            return;
        }
        ServiceRecord record = mServices.computeIfAbsent(service, key -> new ServiceRecord());
        double value = Math.log(latencyMs);
        if (!record.mStarted) {
            record.mStarted = true;
            record.mLevel.mMean = value;
        }
        Map<JobName, Double> shares = shares(neighbours);
        update(record, value, shares);
        for (JobName job : shares.keySet()) {
            judge(service, job, record.effect(job).estimate());
        }
    }

    private void judge(ServiceName service, JobName job, PairEstimate estimate) {
        if (estimate.lower(HARMFUL_DEVIATIONS) > HARMFUL) {
            mHarms.computeIfAbsent(job, key -> new HashSet<>()).add(service);
            return;
        }
        mHarms.computeIfPresent(
                job,
                (key, services) -> {
                    services.remove(service);
                    return services.isEmpty() ? null : services;
                });
    }

    private static Map<JobName, Double> shares(Collection<Neighbour> neighbours) {
        Map<JobName, Double> shares = new HashMap<>();
        for (Neighbour neighbour : neighbours) {
            shares.merge(neighbour.job(), neighbour.share(), Double::sum);
        }
        return shares;
    }

    private static void update(ServiceRecord record, double value, Map<JobName, Double> shares) {
        record.mLevel.mVariance += LEVEL_DRIFT;
        double expected = record.mLevel.mMean;
        double variance = record.mLevel.mVariance + NOISE_VARIANCE;
        for (Map.Entry<JobName, Double> entry : shares.entrySet()) {
            Effect effect = record.effect(entry.getKey());
            double share = entry.getValue();
            effect.mVariance = Math.min(PRIOR_VARIANCE, effect.mVariance + EFFECT_DRIFT);
            expected += share * effect.mMean;
            variance += share * share * effect.mVariance;
        }
        double limit = CLIPPED_DEVIATIONS * Math.sqrt(variance);
        double error = Math.max(-limit, Math.min(limit, value - expected));
        record.mLevel.correct(error, record.mLevel.mVariance / variance, 1);
        for (Map.Entry<JobName, Double> entry : shares.entrySet()) {
            Effect effect = record.effect(entry.getKey());
            double share = entry.getValue();
            double wider = variance - NOISE_VARIANCE + EFFECT_NOISE_VARIANCE;
            effect.correct(error, share * effect.mVariance / wider, share);
        }
    }

    /** Returns the estimate for a pair; for an unknown pair that is the prior. */
    public PairEstimate estimate(ServiceName service, JobName job) {
        ServiceRecord record = mServices.get(service);
        Effect effect = record == null ? null : record.mEffects.get(job);
        return effect == null ? new PairEstimate(0, Math.sqrt(PRIOR_VARIANCE)) : effect.estimate();
    }

    /** Returns the services that a job probably slows down. */
    public Set<ServiceName> harmedBy(JobName job) {
        return Collections.unmodifiableSet(mHarms.getOrDefault(job, Set.of()));
    }

    /** Tells whether any pair is harmful, so that callers can skip the look-ups. */
    public boolean anyHarm() {
        return !mHarms.isEmpty();
    }
}
