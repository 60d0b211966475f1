package org.hickorycleat.daemon.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.hickorycleat.daemon.Main;
import org.hickorycleat.platform.NodeSettingsReader;

/** Starts a process as the platform does, and sends it signals to stop, suspend or kill it. */
final class NodeProcess implements AutoCloseable {
    private static final long SIGNAL_TIMEOUT_S = 5;

    private final Path mSettings;
    private final File mLog;
    private volatile Process mProcess;

    NodeProcess(Path directory, String name, String settings) throws IOException {
        mSettings = directory.resolve(name + ".json");
        mLog = directory.resolve(name + ".log").toFile();
        Files.writeString(mSettings, settings);
        mProcess = launch();
    }

    private Process launch() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "platform");
        builder.environment().put(NodeSettingsReader.PATH_VARIABLE, mSettings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog));
        return builder.start();
    }

    /** Sends a signal by its name. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid()))
                .start()
                .waitFor(SIGNAL_TIMEOUT_S, TimeUnit.SECONDS);
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Waits until the process has ended, and returns its exit code, or nothing if it runs on. */
    OptionalInt awaitEnd(long timeoutMs) throws InterruptedException {
        return mProcess.waitFor(timeoutMs, TimeUnit.MILLISECONDS)
                ? OptionalInt.of(mProcess.exitValue())
                : OptionalInt.empty();
    }

    /** Starts the process again after its end. */
    void start() throws IOException {
        mProcess = launch();
    }

    /** Returns the log of all starts of the process. */
    List<String> logLines() throws IOException {
        try (Stream<String> lines = Files.lines(mLog.toPath(), StandardCharsets.ISO_8859_1)) {
            return lines.toList();
        }
    }

    /** Waits until a signalled process has ended, and starts it again. */
    void awaitEndAndRestart() throws IOException, InterruptedException {
        if (!mProcess.waitFor(2 * SIGNAL_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException("process did not end in time: " + mSettings);
        }
        mProcess = launch();
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
    }
}
