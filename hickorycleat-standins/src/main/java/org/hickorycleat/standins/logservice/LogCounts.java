package org.hickorycleat.standins.logservice;

import java.util.concurrent.atomic.LongAdder;

/** Numbers of requests by what became of them. */
final class LogCounts {
    final LongAdder mAppends = new LongAdder();
    final LongAdder mReads = new LongAdder();
    final LongAdder mLostAnswers = new LongAdder();
    final LongAdder mRefused = new LongAdder();
    final LongAdder mLimited = new LongAdder();
    final LongAdder mHeld = new LongAdder();
}
