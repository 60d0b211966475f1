package org.hickorycleat.model.manifest;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ManifestInspectorTest {
    private static final Instant NOW = Instant.parse("2026-01-31T04:00:00Z");

    /**
     * Guards against accepting an entry that never applies, or limits that contradict, silently.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    'deadline':'2026-01-31T04:00:00Z' | NEVER_APPLIES | its deadline has passed
                    'deadline':'2026-01-31T04:00:09Z' | CONTRADICTION | exceeds the 9 s
                    'release':'2026-01-31T05:00:00Z','deadline':'2026-01-31T05:00:09Z' \
                    | CONTRADICTION | exceeds the 9 s
                    'resources':{'processors_milli':4001,'memory_mebibytes':1} \
                    | CONTRADICTION | exceed the quota of team a
                    """)
    void jobThatCannotBeServedIsFound(
            String fields, ManifestFinding.Kind kind, String expectedDetail) {
        List<ManifestFinding> findings = inspect(manifest(fields, ""), Optional.empty());

        assertThat(findings).hasSize(1);
        assertThat(findings.get(0).kind()).isEqualTo(kind);
        assertThat(findings.get(0).path()).isEqualTo("$.jobs[0]");
        assertThat(findings.get(0).detail()).contains(expectedDetail);
    }

    /** Guards against findings on a manifest that can be served as it is. */
    @Test
    void jobThatJustFitsIsNoFinding() {
        Manifest manifest = manifest("'deadline':'2026-01-31T04:00:10Z'", "");

        assertThat(inspect(manifest, Optional.of(manifest))).isEmpty();
    }

    /** Guards against a changed job that never runs because its run is in force. */
    @Test
    void changedJobUnderTheSameRunIsFound() {
        Manifest before = manifest("'urgent':false", "");
        Manifest after = manifest("'urgent':true", "");

        assertThat(inspect(after, Optional.of(before)))
                .extracting(ManifestFinding::detail)
                .containsExactly(
                        "job night run 1 is in force with other values; a changed job needs a new"
                                + " run");
    }

    /** Guards against availability zones without an instance, and teams that own nothing. */
    @Test
    void zonesWithoutInstanceAndUnusedTeamsAreFound() {
        String service =
                "{'name':'s','team':'a','instances':1,'slots':1,'connections':1,"
                        + "'latency_goal_ms':9,'zones':['x','y']}";
        Manifest manifest = manifest("'urgent':false", service, ",{'name':'b'," + QUOTA + "}");

        assertThat(inspect(manifest, Optional.empty()))
                .extracting(ManifestFinding::path)
                .containsExactly("$.teams[1]", "$.services[0]");
    }

    /** Guards against a difference that is not shown, and against showing the order of entries. */
    @Test
    void differenceNamesAddedRemovedAndChangedEntries() {
        Manifest before = manifest("'urgent':false", "", ",{'name':'b'," + QUOTA + "}");
        Manifest after = manifest("'urgent':true", "", ",{'name':'c'," + QUOTA + "}");

        assertThat(ManifestDifference.between(before, after))
                .extracting(ManifestChange::toString)
                .containsExactly(
                        "removed team b",
                        "added team c",
                        "changed job night run 1: urgent false -> true");
        assertThat(ManifestDifference.between(after, after)).isEmpty();
    }

    private static final String QUOTA = "'quota':{'processors_milli':4000,'memory_mebibytes':4000}";

    private static List<ManifestFinding> inspect(Manifest manifest, Optional<Manifest> current) {
        return ManifestInspector.inspect(manifest, current, NOW);
    }

    private static Manifest manifest(String jobFields, String services) {
        return manifest(jobFields, services, "");
    }

    private static Manifest manifest(String jobFields, String services, String teams) {
        String resources =
                jobFields.contains("'resources'")
                        ? ""
                        : "'resources':{'processors_milli':1,'memory_mebibytes':1},";
        String json =
                "{'schema':1,'base':-1,'teams':[{'name':'a',"
                        + QUOTA
                        + "}"
                        + teams
                        + "],'services':["
                        + services
                        + "],'jobs':[{'name':'night','run':'1','team':'a','estimated_seconds':10,"
                        + resources
                        + jobFields
                        + "}]}";
        return ManifestParser.parse(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8)).get();
    }
}
