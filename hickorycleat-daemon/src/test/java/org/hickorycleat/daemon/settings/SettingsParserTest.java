package org.hickorycleat.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SettingsParserTest {
    private static final String ENTRY =
            """
            [process]
            role = entry
            id = entry-1
            availability_zone = north-a
            admin_listen = 127.0.0.1:7101
            drain_limit = 5s

            [entry]
            caller_listen = 127.0.0.1:7201
            peer_listen = 127.0.0.1:7301
            log_service = http://127.0.0.1:7000
            peers = 127.0.0.1:7302, 127.0.0.1:7303
            """;

    /** Guards against a setting being accepted but ignored. */
    @Test
    void readsEverySettingOfAnEntry() {
        DaemonSettings settings = SettingsParser.parse("entry.ini", ENTRY).get();

        assertThat(settings.process().value()).isEqualTo("entry-1");
        assertThat(settings.zone().value()).isEqualTo("north-a");
        assertThat(settings.drainLimit()).isEqualTo(Duration.ofSeconds(5));
        EntrySettings entry = settings.entry().orElseThrow();
        assertThat(entry.callerListen()).isEqualTo(ValueParser.address("127.0.0.1:7201").get());
        assertThat(entry.logService()).isEqualTo("http://127.0.0.1:7000");
        assertThat(entry.peers()).hasSize(2);
        assertThat(settings.agent()).isEmpty();
    }

    /** Guards against reporting only the first of several errors. */
    @Test
    void reportsEveryErrorWithItsLine() {
        String text =
                ENTRY.replace("drain_limit = 5s", "drain_limit = 5")
                        .replace("id = entry-1", "id = entry 1")
                        .replace("log_service = http://127.0.0.1:7000", "log_servise = x");

        List<SettingError> errors = SettingsParser.parse("entry.ini", text).getLeft();

        assertThat(errors)
                .extracting(SettingError::line, SettingError::setting)
                .containsExactlyInAnyOrder(
                        tuple(3, "process.id"),
                        tuple(6, "process.drain_limit"),
                        tuple(0, "entry.log_service"),
                        tuple(11, "entry.log_servise"));
    }

    /** Guards against silently accepting the settings of one role for another. */
    @Test
    void rejectsSettingsOfTheOtherRole() {
        List<SettingError> errors =
                SettingsParser.parse("entry.ini", ENTRY + "\n[agent]\nentries = 127.0.0.1:1\n")
                        .getLeft();

        assertThat(errors).extracting(SettingError::setting).containsExactly("agent.entries");
    }

    /** Guards against a duplicate silently overriding the first value. */
    @Test
    void rejectsDuplicateSectionsAndSettings() {
        String text =
                ENTRY.replace("id = entry-1\n", "id = entry-1\nid = entry-2\n")
                        + "[process]\nlog_level = info\n";

        List<SettingError> errors = SettingsParser.parse("entry.ini", text).getLeft();

        assertThat(errors)
                .extracting(SettingError::line, SettingError::setting)
                .containsExactlyInAnyOrder(tuple(4, "process.id"), tuple(14, "process"));
    }

    /** Guards against rejecting files that start with a byte order mark. */
    @Test
    void ignoresByteOrderMark() {
        assertThat(SettingsParser.parse("entry.ini", "\uFEFF" + ENTRY).isRight()).isTrue();
    }

    /** Guards against an exception on a file that is not in INI format. */
    @Property(seed = "3", tries = 500)
    void parsesOrRejectsArbitraryText(@ForAll String text) {
        assertThat(SettingsParser.parse("any.ini", text)).isNotNull();
    }
}
