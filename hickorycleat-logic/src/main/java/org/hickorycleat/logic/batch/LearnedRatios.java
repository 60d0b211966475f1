package org.hickorycleat.logic.batch;

/** Ratios of seen to declared values of one job or team. */
record LearnedRatios(RatioSamples runTimes, RatioSamples processors, RatioSamples memory) {
    LearnedRatios() {
        this(new RatioSamples(), new RatioSamples(), new RatioSamples());
    }
}
