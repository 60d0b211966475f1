package org.hickorycleat.standins.logservice;

import java.util.concurrent.atomic.LongAdder;

/** Request counters by outcome. */
final class LogCounts {
    final LongAdder mAppends = new LongAdder();
    final LongAdder mReads = new LongAdder();
    final LongAdder mLostResponses = new LongAdder();
    final LongAdder mRejected = new LongAdder();
    final LongAdder mRateLimited = new LongAdder();
    final LongAdder mHeld = new LongAdder();
}
