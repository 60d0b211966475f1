package org.hickorycleat.logic.batch;

/** Ratios of observed to declared values of one job or team. */
record ObservedRatios(RatioSamples runTimes, RatioSamples processors, RatioSamples memory) {
    ObservedRatios() {
        this(new RatioSamples(), new RatioSamples(), new RatioSamples());
    }
}
