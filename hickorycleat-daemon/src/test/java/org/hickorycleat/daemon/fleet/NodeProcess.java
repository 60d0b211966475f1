package org.hickorycleat.daemon.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.Main;
import org.hickorycleat.platform.NodeSettingsReader;

/** Starts a process as the platform does, and sends it signals to stop, suspend or kill it. */
final class NodeProcess implements AutoCloseable {
    private static final long SIGNAL_TIMEOUT_S = 5;

    private final Path mSettings;
    private final File mLog;
    private Process mProcess;

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
