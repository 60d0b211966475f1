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
 * Writes log lines from a thread of its own, with a budget a second for each kind of event.
 *
 * <p>A line that is over the budget or finds the queue full is counted and left out; a line tells
 * the count once a second.
 */
public final class RateLimitedLogHandler extends Handler {
    /** Lines of one kind of event in a second; further ones are counted. */
    private static final int BUDGET_PER_SECOND = 60;

    /** Lines that may wait to be written. */
    private static final int QUEUE_LINES = 2_000;

    private static final long WINDOW_MS = 1_000;

    private final PrintStream mOut;
    private final BlockingQueue<LogRecord> mQueue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Map<String, Integer> mWritten = new HashMap<>();
    private final Map<String, Integer> mLeftOut = new HashMap<>();
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
        boolean taken = isWithinBudget(record) && mQueue.offer(record);
        if (!taken) {
            countLeftOut(kind(record));
        }
    }

    private static String kind(LogRecord record) {
        String message = String.valueOf(record.getMessage());
        int end = message.indexOf(' ');
        return end < 0 ? message : message.substring(0, end);
    }

    private synchronized boolean isWithinBudget(LogRecord record) {
        if (record.getMillis() - mWindowStartMs >= WINDOW_MS) {
            mWindowStartMs = record.getMillis();
            mWritten.clear();
        }
        return mWritten.merge(kind(record), 1, Integer::sum) <= BUDGET_PER_SECOND;
    }

    private synchronized void countLeftOut(String kind) {
        mLeftOut.merge(kind, 1, Integer::sum);
    }

    private synchronized String takeLeftOut() {
        if (mLeftOut.isEmpty()) {
            return "";
        }
        String counts = mLeftOut.toString().replace("event=", "");
        mLeftOut.clear();
        return "level=warning event=lines_left_out counts=\"" + counts + '"';
    }

    private void writeAll() {
        try {
            while (true) {
                LogRecord record = mQueue.poll(WINDOW_MS, TimeUnit.MILLISECONDS);
                if (record != null) {
                    write(record);
                }
                if (mQueue.isEmpty()) {
                    String leftOut = takeLeftOut();
                    if (!leftOut.isEmpty()) {
                        mOut.println(leftOut);
                    }
                    mOut.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Under a lock of its own: callers never wait for the output.
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
