package org.hickorycleat.docs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against an operations page that documents events, causes or metrics that no process emits.
 */
class OperationsPageTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern EVENT = Pattern.compile("event=([a-z_]+)");

    private static String sources() throws IOException {
        StringBuilder sources = new StringBuilder();
        for (String module : new String[] {"hickorycleat-daemon", "hickorycleat-logic"}) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main"))) {
                for (Path file : files.filter(Files::isRegularFile).collect(Collectors.toList())) {
                    sources.append(Files.readString(file));
                }
            }
        }
        return sources.toString();
    }

    @Test
    void namesOnlyEventsThatAreWritten() throws IOException {
        String page = Files.readString(ROOT.resolve("docs/OPERATIONS.md"));
        String sources = sources();
        TreeSet<String> unknown = new TreeSet<>();
        Matcher events = EVENT.matcher(page);
        while (events.find()) {
            boolean written =
                    sources.contains('"' + events.group(1) + '"')
                            || sources.contains("event=" + events.group(1) + ' ');
            if (!written) {
                unknown.add(events.group(1));
            }
        }

        assertThat(unknown).isEmpty();
    }

    @Test
    void namesOnlyCausesThatAreWritten() throws IOException {
        String page = Files.readString(ROOT.resolve("docs/OPERATIONS.md"));
        String sources = sources();
        Matcher causes = Pattern.compile("`cause=([a-z_]+)`").matcher(page);
        TreeSet<String> unknown = new TreeSet<>();
        while (causes.find()) {
            if (!sources.contains('"' + causes.group(1) + '"')) {
                unknown.add(causes.group(1));
            }
        }

        assertThat(unknown).isEmpty();
    }

    @Test
    void namesOnlyMetricsThatExist() throws IOException {
        String sources = sources();

        assertThat(sources).contains("\"hickorycleat.decisions\"");
        assertThat(sources).contains("\"hickorycleat.caller.answers\"");
    }
}
