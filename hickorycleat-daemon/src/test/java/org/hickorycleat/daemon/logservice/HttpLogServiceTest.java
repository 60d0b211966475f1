package org.hickorycleat.daemon.logservice;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.logic.port.LogPage;
import org.hickorycleat.logic.port.LogTruncatedException;
import org.hickorycleat.logic.port.LogUnavailableException;
import org.hickorycleat.model.identifier.StreamName;
import org.hickorycleat.standins.logservice.LogFaults;
import org.hickorycleat.standins.logservice.LogOutage;
import org.hickorycleat.standins.logservice.LogRetention;
import org.hickorycleat.standins.logservice.LogServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpLogServiceTest {
    private static final StreamName STREAM = new StreamName("a stream/with:odd characters");
    private static final LogServiceTimeouts TIMEOUTS =
            new LogServiceTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(1));

    private final LogServer mServer = LogServer.start(0, new LogRetention(3, Long.MAX_VALUE), 1);
    private final HttpLogService mLog =
            new HttpLogService("http://127.0.0.1:" + mServer.port(), TIMEOUTS);

    @AfterEach
    void stop() {
        mLog.close();
        mServer.close();
    }

    /** Guards against changed payloads between append and read. */
    @Test
    void recordsAreReadUnchanged() {
        byte[] payload = new byte[256];
        for (int index = 0; index < payload.length; index++) {
            payload[index] = (byte) index;
        }

        assertThat(append(payload).blockingGet()).isEqualTo(0);
        assertThat(append(new byte[0]).blockingGet()).isEqualTo(1);
        LogPage page = mLog.read(STREAM, 0, 10, Duration.ZERO).blockingGet();

        assertThat(page.nextOffset()).isEqualTo(2);
        assertThat(page.records().get(0).payload()).isEqualTo(payload);
        assertThat(page.records().get(1).payload()).isEmpty();
    }

    /**
     * Guards against a new record being delivered only by the next poll instead of the current one.
     */
    @Test
    void longPollEndsAtTheNextAppend() throws InterruptedException {
        TestObserver<LogPage> read = mLog.read(STREAM, 0, 10, Duration.ofSeconds(20)).test();
        appendAndWait(new byte[] {7});

        assertThat(read.await(5, TimeUnit.SECONDS)).isTrue();
        read.assertNoErrors();
        assertThat(read.values().get(0).records()).hasSize(1);
    }

    /** Guards against the client's response timeout treating a long poll as an outage. */
    @Test
    void longPollBeyondResponseTimeoutEndsWithEmptyPage() {
        LogPage page = mLog.read(STREAM, 0, 10, Duration.ofMillis(1_500)).blockingGet();

        assertThat(page.records()).isEmpty();
    }

    /** Guards against continuing to read without noticing truncated records. */
    @Test
    void readOfTruncatedOffsetReportsFirstRetainedOffset() {
        for (byte number = 0; number < 5; number++) {
            appendAndWait(new byte[] {number});
        }

        mLog.read(STREAM, 1, 10, Duration.ZERO)
                .test()
                .awaitDone(5, TimeUnit.SECONDS)
                .assertError(
                        error ->
                                error instanceof LogTruncatedException truncated
                                        && truncated.firstOffset() == 2);
    }

    /** Guards against requests that hang or fail with an undeclared exception during an outage. */
    @Test
    void outagesAreReportedWithinTheTimeout() {
        for (LogOutage outage : List.of(LogOutage.REFUSE, LogOutage.HOLD)) {
            mServer.setFaults(new LogFaults(outage, 0, 0, 0));
            append(new byte[] {1})
                    .test()
                    .awaitDone(5, TimeUnit.SECONDS)
                    .assertError(LogUnavailableException.class);
            mLog.read(STREAM, 0, 1, Duration.ZERO)
                    .test()
                    .awaitDone(5, TimeUnit.SECONDS)
                    .assertError(LogUnavailableException.class);
        }
        mServer.setFaults(LogFaults.NONE);

        assertThat(append(new byte[] {1}).blockingGet()).isEqualTo(0);
    }

    /** Guards against an automatic retry of an append after its connection broke. */
    @Test
    void appendWithLostResponseFailsWithoutRetry() {
        appendAndWait(new byte[] {0});
        mServer.setFaults(new LogFaults(LogOutage.NONE, 0, 1, 0));
        append(new byte[] {1})
                .test()
                .awaitDone(5, TimeUnit.SECONDS)
                .assertError(LogUnavailableException.class);

        assertThat(mLog.read(STREAM, 0, 10, Duration.ZERO).blockingGet().records()).hasSize(2);
    }

    /** Guards against reporting success for appends beyond the capacity of the log service. */
    @Test
    void appendBeyondRateLimitFails() {
        mServer.setFaults(new LogFaults(LogOutage.NONE, 0, 0, 1));
        appendAndWait(new byte[] {1});

        append(new byte[] {2})
                .test()
                .awaitDone(5, TimeUnit.SECONDS)
                .assertError(LogUnavailableException.class);
    }

    private void appendAndWait(byte[] payload) {
        append(payload).ignoreElement().onErrorComplete().blockingAwait();
    }

    private Single<Long> append(byte[] payload) {
        return mLog.append(STREAM, payload);
    }
}
