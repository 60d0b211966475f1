package org.hickorycleat.logic.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.LogRecord;
import org.hickorycleat.model.identifier.StreamName;
import org.junit.jupiter.api.Test;

class StreamFollowerTest {
    private final TestScheduler mScheduler = new TestScheduler();
    private final InMemoryLog mLog = new InMemoryLog(mScheduler);
    private final StreamFollower mFollower =
            new StreamFollower(
                    mLog,
                    new StreamName("stream"),
                    0,
                    StreamFollower.DEFAULT_WAIT,
                    ExponentialBackoff.DEFAULT,
                    new Random(1),
                    mScheduler);

    /**
     * Guards against records that are lost or repeated around an outage, and health output that
     * does not report the outage.
     */
    @Test
    void followerReadsEachRecordOnceAcrossAnOutageAndReportsIt() {
        mLog.add(new byte[] {0});
        TestSubscriber<StreamEvent> events = mFollower.events().test();
        mLog.add(new byte[] {1});
        mScheduler.advanceTimeBy(5, TimeUnit.SECONDS);
        mLog.setDown(true);
        mScheduler.advanceTimeBy(30, TimeUnit.SECONDS);

        assertThat(mFollower.health().isAvailable()).isFalse();
        assertThat(mFollower.health().lastError()).contains("down");
        assertThat(mFollower.health().lastSuccessMs()).isEqualTo(OptionalLong.of(0));

        mLog.setDown(false);
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);
        mLog.add(new byte[] {2});

        assertThat(mFollower.health().isAvailable()).isTrue();
        assertThat(offsets(events)).containsExactly(0L, 1L, 2L);
        assertThat(events.values()).filteredOn(StreamEvent.CaughtUp.class::isInstance).hasSize(1);
    }

    /**
     * Guards against a follower that stops, or silently skips records, when records have expired.
     */
    @Test
    void truncationIsReportedBeforeTheRemainingRecords() {
        for (byte number = 0; number < 5; number++) {
            mLog.add(new byte[] {number});
        }
        mLog.truncateBefore(3);

        TestSubscriber<StreamEvent> events = mFollower.events().test();

        assertThat(events.values().get(0)).isEqualTo(new StreamEvent.Truncated(3));
        assertThat(offsets(events)).containsExactly(3L, 4L);
    }

    /**
     * Guards against an idle follower that loads the log service with more than one read per
     * long-poll wait.
     */
    @Test
    void idleFollowerReadsOncePerWait() {
        TestSubscriber<StreamEvent> unused = mFollower.events().test();
        int before = mLog.reads();
        mScheduler.advanceTimeBy(100, TimeUnit.SECONDS);

        assertThat(mLog.reads() - before).isBetween(9, 11);
    }

    private static List<Long> offsets(TestSubscriber<StreamEvent> events) {
        List<Long> offsets = new ArrayList<>();
        for (StreamEvent event : events.values()) {
            if (event instanceof StreamEvent.RecordsRead read) {
                read.page().records().stream().map(LogRecord::offset).forEach(offsets::add);
            }
        }
        return offsets;
    }
}
