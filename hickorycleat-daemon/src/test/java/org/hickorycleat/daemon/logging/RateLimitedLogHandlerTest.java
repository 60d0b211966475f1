package org.hickorycleat.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

class RateLimitedLogHandlerTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final RateLimitedLogHandler mHandler =
            new RateLimitedLogHandler(new PrintStream(mOut, true, StandardCharsets.UTF_8));

    private void log(String message) {
        mHandler.publish(new LogRecord(Level.INFO, message));
    }

    private String text() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    @Test
    void writesLines() {
        log("event=job_taken job=a");

        Awaitility.await()
                .atMost(Duration.ofSeconds(5))
                .until(() -> text().contains("event=job_taken job=a"));
    }

    @Test
    void countsLinesOverTheRateLimitOfAnEvent() {
        for (int i = 0; i < 1_000; i++) {
            log("event=run_started run=" + i);
        }
        log("event=job_taken job=a");

        Awaitility.await()
                .atMost(Duration.ofSeconds(5))
                .until(() -> text().contains("event=lines_left_out counts=\"{run_started="));
        assertThat(text()).contains("event=job_taken job=a");
        assertThat(text().lines().filter(line -> line.contains("run_started run")).count())
                .isBetween(60L, 180L);
    }

    @Test
    void doesNotBlockCallerWhenOutputIsBlocked() throws Exception {
        PrintStream blocked =
                new PrintStream(mOut, true, StandardCharsets.UTF_8) {
                    @Override
                    public void print(String text) {
                        try {
                            Thread.sleep(60_000);
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                };
        RateLimitedLogHandler handler = new RateLimitedLogHandler(blocked);
        Thread caller =
                new Thread(
                        () -> {
                            for (int i = 0; i < 5_000; i++) {
                                handler.publish(new LogRecord(Level.INFO, "event=e" + i));
                            }
                        });
        caller.start();
        caller.join(5_000);

        assertThat(caller.isAlive()).isFalse();
    }
}
