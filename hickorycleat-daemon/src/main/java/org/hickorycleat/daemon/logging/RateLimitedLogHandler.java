package org.hickorycleat.daemon.logging;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines in a separate thread, with a rate limit for each event name.
 *
 * <p>A line that exceeds the rate limit or finds the queue full is dropped and counted; the counts
 * are logged about once a second.
 */
public final class RateLimitedLogHandler extends Handler {
    /**
     * Maximum number of lines of one event name in a second; further ones are dropped and counted.
     */
    private static final int LINES_PER_SECOND = 60;

    /** Maximum number of lines that wait to be written. */
    private static final int QUEUE_LINES = 2_000;

    private static final long RATE_WINDOW_MS = 1_000;

    private final PrintStream mOut;
    private final BlockingQueue<LogRecord> mQueue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Map<String, Integer> mLinesInWindow = new HashMap<>();
    private final Map<String, Integer> mDroppedLines = new HashMap<>();
    private final Thread mWriter = new Thread(this::writeAll, "log-writer");
    private long mWindowStartMs;

    /** Creates a handler and starts its thread. */
    public RateLimitedLogHandler(PrintStream out) {
        mOut = out;
        setFormatter(new KeyValueLogFormatter());
        mWriter.setDaemon(true);
        mWriter.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        boolean queued = isWithinRateLimit(record) && mQueue.offer(record);
        if (!queued) {
            countDropped(eventKey(record));
        }
    }

    private static String eventKey(LogRecord record) {
        String message = String.valueOf(record.getMessage());
        int end = message.indexOf(' ');
        return end < 0 ? message : message.substring(0, end);
    }

    private synchronized boolean isWithinRateLimit(LogRecord record) {
        if (record.getMillis() - mWindowStartMs >= RATE_WINDOW_MS) {
            mWindowStartMs = record.getMillis();
            mLinesInWindow.clear();
        }
        return mLinesInWindow.merge(eventKey(record), 1, Integer::sum) <= LINES_PER_SECOND;
    }

    private synchronized void countDropped(String eventKey) {
        mDroppedLines.merge(eventKey, 1, Integer::sum);
    }

    private synchronized String drainDroppedCounts() {
        if (mDroppedLines.isEmpty()) {
            return "";
        }
        String counts = mDroppedLines.toString().replace("event=", "");
        mDroppedLines.clear();
        return "level=warning event=lines_left_out counts=\"" + counts + '"';
    }

    private void writeAll() {
        try {
            while (true) {
                LogRecord record = mQueue.poll(RATE_WINDOW_MS, TimeUnit.MILLISECONDS);
                if (record != null) {
                    write(record);
                }
                if (mQueue.isEmpty()) {
                    String droppedCounts = drainDroppedCounts();
                    if (!droppedCounts.isEmpty()) {
                        mOut.println(droppedCounts);
                    }
                    mOut.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Uses a separate lock, so that callers never wait for the output.
    private void write(LogRecord record) {
        synchronized (mOut) {
            mOut.print(getFormatter().format(record));
        }
    }

    @Override
    public void flush() {
        LogRecord record = mQueue.poll();
        while (record != null) {
            write(record);
            record = mQueue.poll();
        }
        mOut.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
