package org.hickorycleat.standins.load;

import java.util.List;

/** Parameters of a load: entries, rate, duration and the contents of the requests. */
record LoadPlan(
        String name,
        List<String> entries,
        String path,
        double ratePerSecond,
        double seconds,
        double warmUpSeconds,
        String criticality,
        String team,
        int deadlineMs,
        String method,
        boolean keyed,
        int bodyBytes) {
    static Builder builder() {
        return new Builder();
    }

    /** Builds a plan. */
    static final class Builder {
        private String mName = "";
        private List<String> mEntries = List.of();
        private String mPath = "";
        private double mRatePerSecond = 0;
        private double mSeconds = 0;
        private double mWarmUpSeconds = 0;
        private String mCriticality = "";
        private String mTeam = "";
        private int mDeadlineMs = 0;
        private String mMethod = "";
        private boolean mKeyed = false;
        private int mBodyBytes = 0;

        Builder name(String value) {
            mName = value;
            return this;
        }

        Builder entries(List<String> value) {
            mEntries = value;
            return this;
        }

        Builder path(String value) {
            mPath = value;
            return this;
        }

        Builder ratePerSecond(double value) {
            mRatePerSecond = value;
            return this;
        }

        Builder seconds(double value) {
            mSeconds = value;
            return this;
        }

        Builder warmUpSeconds(double value) {
            mWarmUpSeconds = value;
            return this;
        }

        Builder criticality(String value) {
            mCriticality = value;
            return this;
        }

        Builder team(String value) {
            mTeam = value;
            return this;
        }

        Builder deadlineMs(int value) {
            mDeadlineMs = value;
            return this;
        }

        Builder method(String value) {
            mMethod = value;
            return this;
        }

        Builder keyed(boolean value) {
            mKeyed = value;
            return this;
        }

        Builder bodyBytes(int value) {
            mBodyBytes = value;
            return this;
        }

        LoadPlan build() {
            return new LoadPlan(
                    mName,
                    mEntries,
                    mPath,
                    mRatePerSecond,
                    mSeconds,
                    mWarmUpSeconds,
                    mCriticality,
                    mTeam,
                    mDeadlineMs,
                    mMethod,
                    mKeyed,
                    mBodyBytes);
        }
    }
}
