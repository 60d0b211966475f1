package org.hickorycleat.logic.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorycleat.logic.port.LogUnavailableException;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RecordId;
import org.hickorycleat.model.identifier.StreamName;
import org.junit.jupiter.api.Test;

class IdempotentAppenderTest {
    private static final ProcessId WRITER = new ProcessId("writer");

    private final TestScheduler mScheduler = new TestScheduler();
    private final InMemoryLog mLog = new InMemoryLog(mScheduler);
    private final IdempotentAppender mAppender =
            new IdempotentAppender(
                    mLog,
                    new StreamName("stream"),
                    IdempotentAppenderTest::id,
                    ExponentialBackoff.DEFAULT,
                    new Random(1),
                    mScheduler);

    /** Guards against a duplicate record for every lost response. */
    @Test
    void recordWhoseResponseWasLostIsFoundAndNotAppendedAgain() {
        mLog.setLosesResponse(() -> true);

        TestObserver<Long> result = append(1).test();
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);

        result.assertValue(0L);
        assertThat(mLog.size()).isEqualTo(1);
    }

    /** Guards against an append that is abandoned during an outage, or retried too often. */
    @Test
    void appendSurvivesAnOutageAtTheRateOfTheBackoff() {
        mLog.setDown(true);
        TestObserver<Long> result = append(1).test();
        mScheduler.advanceTimeBy(1, TimeUnit.HOURS);

        result.assertNotComplete();
        assertThat(mLog.reads()).isBetween(3_600, 7_300);

        mLog.setDown(false);
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);

        result.assertValue(0L);
    }

    /** Guards against records out of order, which readers would discard as duplicates. */
    @Test
    void laterAppendsWaitForEarlierOnes() {
        mLog.setDown(true);
        TestObserver<Long> first = append(1).test();
        mLog.setDown(false);
        TestObserver<Long> second = append(2).test();
        mScheduler.advanceTimeBy(1, TimeUnit.SECONDS);

        first.assertValue(0L);
        second.assertValue(1L);
    }

    /** Guards against an appender that is blocked forever by an append whose caller timed out. */
    @Test
    void disposedAppendDoesNotBlockTheNext() {
        mLog.setDown(true);
        append(1).test().dispose();
        mLog.setDown(false);

        append(2).test().assertValue(0L);
    }

    /** Guards against an unbounded queue of appends during an outage. */
    @Test
    void appendsBeyondTheLimitAreRejected() {
        mLog.setDown(true);
        for (int number = 0; number < 1_000; number++) {
            append(number).test().assertNotComplete();
        }

        append(1_000).test().assertFailure(LogUnavailableException.class);
    }

    /** Guards against records that readers see twice, not at all, or out of order. */
    @Property(seed = "5", tries = 300)
    void readersSeeEachRecordOnceInOrderWhateverIsLost(@ForAll long seed) {
        Random random = new Random(seed);
        TestScheduler scheduler = new TestScheduler();
        InMemoryLog log = new InMemoryLog(scheduler);
        log.setLosesResponse(() -> random.nextInt(3) == 0);
        IdempotentAppender appender =
                new IdempotentAppender(
                        log,
                        new StreamName("stream"),
                        IdempotentAppenderTest::id,
                        ExponentialBackoff.DEFAULT,
                        random,
                        scheduler);
        for (int number = 0; number < 20; number++) {
            log.setDown(random.nextBoolean());
            TestObserver<Long> unused =
                    appender.append(new AppendRequest(id(number), payload(number), log.size()))
                            .test();
            if (random.nextInt(4) == 0 && log.size() > 0) {
                log.add(log.payload(random.nextInt(log.size())));
            }
            scheduler.advanceTimeBy(random.nextInt(200), TimeUnit.MILLISECONDS);
        }
        log.setDown(false);
        scheduler.advanceTimeBy(1, TimeUnit.MINUTES);

        DuplicateFilter filter = new DuplicateFilter();
        long expected = 0;
        for (int offset = 0; offset < log.size(); offset++) {
            RecordId id = id(log.payload(offset)).get();
            if (filter.acceptIfFirst(id)) {
                assertThat(id.sequence()).isEqualTo(expected++);
            }
        }
        assertThat(expected).isEqualTo(20);
    }

    private Single<Long> append(long sequence) {
        return mAppender.append(new AppendRequest(id(sequence), payload(sequence), 0));
    }

    private static RecordId id(long sequence) {
        return new RecordId(WRITER, new Incarnation(1), sequence);
    }

    private static byte[] payload(long sequence) {
        return Long.toString(sequence).getBytes(StandardCharsets.UTF_8);
    }

    private static Optional<RecordId> id(byte[] payload) {
        return Optional.of(id(Long.parseLong(new String(payload, StandardCharsets.UTF_8))));
    }
}
