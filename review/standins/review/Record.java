package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, one line per event. */
final class Record {
    private final PrintWriter mOut;
    private final long mStartNanos = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(String format, Object... arguments) {
        long ms = (System.nanoTime() - mStartNanos) / 1_000_000;
        mOut.printf("%7d ms  %s%n", ms, String.format(format, arguments));
        mOut.flush();
    }
}
