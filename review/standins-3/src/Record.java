import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private final PrintWriter mOut;
    private final long mStartNanos = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        mOut.println(String.format(Locale.ROOT, "%9.3f ", nowMs() / 1000.0) + text);
        mOut.flush();
    }
}
