package org.hickorycleat.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hickorycleat.standins.logservice.LogFaults;
import org.hickorycleat.standins.logservice.LogOutage;
import org.hickorycleat.standins.logservice.LogRetention;
import org.hickorycleat.standins.logservice.LogServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckTest {
    private static final String TEAM =
            ",\"teams\":[{\"name\":\"a\",\"quota\":"
                    + "{\"processors_milli\":1,\"memory_mebibytes\":1}}]";

    private final LogServer mLog = LogServer.start(0, new LogRetention(100, Long.MAX_VALUE), 1);
    private final Path mDirectory;

    CheckTest(@TempDir Path directory) {
        mDirectory = directory;
    }

    @AfterEach
    void stop() {
        mLog.close();
    }

    /** Guards against comparing with another version than the one in force. */
    @Test
    void changesFromTheVersionInForceArePrinted() throws IOException {
        Path first = file("first", -1, 1, "");
        assertThat(
                        CommandRun.of("publish", first.toString(), "--log-service", address())
                                .exitCode())
                .isEqualTo(0);

        CommandRun run = check(file("second", 0, 2, ""));

        assertThat(run.exitCode()).isEqualTo(0);
        assertThat(run.output()).contains("changes: 1", "changed placement_shards: 1 -> 2");
        assertThat(check(first).errors())
                .contains("608 DOUBTFUL_MANIFEST", "$.base: is -1, but the version in force is 0");
    }

    /** Guards against exit code 0 although an entry never applies. */
    @Test
    void findingsFailTheCheck() throws IOException {
        CommandRun run = CommandRun.of("check", file("team", -1, 1, TEAM).toString());

        assertThat(run.exitCode()).isEqualTo(7);
        assertThat(run.output()).isEqualTo("valid; not compared with a version in force\n");
        assertThat(run.errors()).contains("$.teams[0]: team a has no service and no job");
    }

    /** Guards against comparing with nothing when the log service does not respond. */
    @Test
    void outageOfTheLogServiceIsReported() throws IOException {
        mLog.setFaults(new LogFaults(LogOutage.REFUSE, 0, 0, 0));

        assertThat(check(file("first", -1, 1, "")).errors())
                .contains("603 LOG_UNAVAILABLE", "nothing was published");
    }

    private CommandRun check(Path file) {
        return CommandRun.of("check", file.toString(), "--log-service", address());
    }

    private String address() {
        return "http://127.0.0.1:" + mLog.port();
    }

    private Path file(String name, long base, int shards, String fields) throws IOException {
        return Files.writeString(
                mDirectory.resolve(name),
                "{\"schema\":1,\"base\":"
                        + base
                        + ",\"placement_shards\":"
                        + shards
                        + fields
                        + "}");
    }
}
