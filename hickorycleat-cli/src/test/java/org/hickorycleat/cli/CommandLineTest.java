package org.hickorycleat.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class CommandLineTest {
    private static final String LONG = "x".repeat(60);

    /** Guards against commands without complete help. */
    @Test
    void everyCommandHasHelpThatFitsTheTerminal() {
        CommandRun overview = CommandRun.of("help");
        assertFits(overview.output());
        for (Command command : Main.commands()) {
            CommandRun help = CommandRun.of(command.name(), "--help");

            assertThat(overview.output()).contains(command.name());
            assertThat(help.exitCode()).isEqualTo(0);
            assertThat(help.output())
                    .startsWith("usage: hickorycleat " + command.name())
                    .contains("--output");
            assertThat(CommandRun.of("help", command.name())).isEqualTo(help);
            assertFits(help.output());
        }
    }

    /** Guards against usage errors that exit with 0 or are printed on standard output. */
    @Test
    void usageErrorsAreReportedOnStandardError() {
        String[][] invalid = {
            {},
            {"fly"},
            {"publish", "file"},
            {"publish", "file", "--log-service", "nowhere"},
            {"validate"},
            {"status"},
            {"status", "--admin", "nowhere"},
            {"explain", "--admin", "127.0.0.1:1"},
            {"status", "--admin", "127.0.0.1:1", "--output", "xml"},
            {"publish", "f", "--log-service", "http://127.0.0.1:1", "--base", "x"},
            {"publish", "f", "--log-service", "http://127.0.0.1:1", "--rebase"}
        };
        for (String[] arguments : invalid) {
            CommandRun run = CommandRun.of(arguments);

            assertThat(run.exitCode()).isEqualTo(7);
            assertThat(run.output()).isEmpty();
            assertThat(run.errors()).startsWith("error 604 USAGE: ");
        }
    }

    /** Guards against a stack trace for a file that does not exist. */
    @Test
    void missingFileIsReported() {
        CommandRun run = CommandRun.of("validate", Path.of("no", "such").toString());

        assertThat(run.errors()).startsWith("error 607 NOT_FOUND: ");
    }

    /** Guards against tables that exceed the terminal width or truncate values. */
    @Test
    void textFitsTheTerminalWithoutLoss() {
        try (AdminStub stub = new AdminStub()) {
            stub.respondTo(
                    "GET /admin/status",
                    """
                    {"process":"%s","role":"entry","zone":"z","state":"serving",
                     "reason":"%s %s","configuration":{"version":5,"source":"log"},
                     "log":{"available":true},"services":[{"service":"%s","ready":3}],
                     "shards":[{"shard":0,"owner":"%s","epoch":17}]}
                    """
                            .formatted(LONG, LONG, LONG, LONG, LONG));
            stub.respondTo(
                    "GET /admin/jobs",
                    """
                    {"jobs":[{"name":"%s","run":"%s","state":"running","reason":"%s"}]}
                    """
                            .formatted(LONG, LONG, LONG));
            stub.respondTo(
                    "GET /admin/explain/" + LONG,
                    """
                    {"task":"%s","events":[{"time":"2026-01-31T04:00:00Z","reason":"%s"}]}
                    """
                            .formatted(LONG, LONG));
            stub.respondTo(
                    "GET /admin/dump", "{\"a\":{\"b\":[1,{\"c\":\"" + LONG + LONG + "\"}]}}");
            stub.respondTo("POST /admin/drain", "{\"process\":\"e\",\"state\":\"draining\"}");

            String status = run(stub, "status");
            String jobs = run(stub, "jobs");

            assertThat(status).contains("configuration version 5 source log, log available");
            assertThat(jobs.chars().filter(letter -> letter == 'x').count()).isEqualTo(180);
            assertThat(run(stub, "explain", LONG)).contains("2026-01-31T04:00:00Z");
            assertThat(run(stub, "dump")).contains("a.b[0]=1", "a.b[1].c=");
            assertThat(run(stub, "drain")).contains("draining");
        }
    }

    /**
     * Guards against an unreachable process hiding the responses of others, and against hiding its
     * failure.
     */
    @Test
    void unreachableProcessDoesNotHideTheOthers() {
        try (AdminStub stub = new AdminStub().respondTo("GET /admin/jobs", "{\"jobs\":[]}")) {
            CommandRun run =
                    CommandRun.of("jobs", "--admin", "127.0.0.1:1", "--admin", stub.address());

            assertThat(run.exitCode()).isEqualTo(7);
            assertThat(run.output()).isEqualTo("no jobs\n");
            assertThat(run.errors()).contains("605 UNREACHABLE: 127.0.0.1:1");
        }
    }

    /** Guards against reporting a task as unknown although one of several entries knows it. */
    @Test
    void taskIsUnknownOnlyIfNoProcessKnowsIt() {
        try (AdminStub first = new AdminStub();
                AdminStub second =
                        new AdminStub().respondTo("GET /admin/explain/t", "{\"task\":\"t\"}")) {
            CommandRun unknown = CommandRun.of("explain", "t", "--admin", first.address());
            CommandRun known =
                    CommandRun.of(
                            "explain",
                            "t",
                            "--admin",
                            first.address(),
                            "--admin",
                            second.address());

            assertThat(known.exitCode()).isEqualTo(0);
            assertThat(unknown.errors()).startsWith("error 607 NOT_FOUND: ");
        }
    }

    private static String run(AdminStub stub, String... arguments) {
        String[] all = new String[arguments.length + 2];
        System.arraycopy(arguments, 0, all, 0, arguments.length);
        all[arguments.length] = "--admin";
        all[arguments.length + 1] = stub.address();
        CommandRun run = CommandRun.of(all);
        assertThat(run.errors()).isEmpty();
        assertFits(run.output());
        return run.output();
    }

    private static void assertFits(String text) {
        assertThat(text.lines())
                .isNotEmpty()
                .allSatisfy(line -> assertThat(line.length()).isLessThanOrEqualTo(80));
    }
}
