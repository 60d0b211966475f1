package org.hickorycleat.model.manifest;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorycleat.model.identifier.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ManifestParserTest {
    /**
     * Guards against a documented example that the parser rejects, and against fields lost on
     * writing.
     */
    @Test
    void documentedExampleIsValidAndSurvivesRoundTrip() throws IOException {
        Manifest manifest = parse(documentedExample());

        assertThat(manifest.services()).hasSize(2);
        assertThat(manifest.jobs()).hasSize(2);
        assertThat(parse(new String(ManifestWriter.write(manifest), StandardCharsets.UTF_8)))
                .isEqualTo(manifest);
    }

    /**
     * Guards against a parser that stops at the first error, so that operators publish once per
     * error.
     */
    @Test
    void allErrorsAreReportedAtOnceWithPathValueAndExpectation() {
        String text =
                """
                {"schema": 2, "base": -2, "colour": "red",
                 "teams": [{"name": "a", "weight": 0, "quota": {"processors_milli": 1.5}},
                           {"name": "a", "quota": 7}],
                 "services": [{"name": "b b", "team": "x", "criticality": "high", "instances": 0,
                               "slots": 8, "connections": 4, "latency_goal_ms": "10",
                               "zones": ["z", "z"], "idempotent_methods": {}}],
                 "jobs": [{"name": "j", "run": "1", "team": "a", "estimated_seconds": 1,
                           "resources": {"processors_milli": 1, "memory_mebibytes": 1},
                           "release": "2026-01-02T00:00:00Z", "deadline": "2026-01-01T00:00:00Z",
                           "urgent": 1}]}
                """;

        assertThat(errors(text).stream().map(ManifestError::toString))
                .containsExactlyInAnyOrder(
                        "$.schema: found 2, expected a whole number from 1 to 1",
                        "$.base: found -2, expected a whole number from -1 to " + Long.MAX_VALUE,
                        "$.colour: found \"red\", expected no such field in schema 1",
                        "$.teams[0].weight: found 0, expected a whole number from 1 to 1000",
                        "$.teams[0].quota.processors_milli: found 1.5, expected a whole number"
                                + " from 0 to 1000000000",
                        "$.teams[0].quota.memory_mebibytes: found nothing, expected a whole"
                                + " number from 0 to 1000000000",
                        "$.teams[1].quota: found 7, expected an object",
                        "$.teams[1]: found a, expected a name that is not taken",
                        "$.services[0].name: found \"b b\", expected "
                                + ManifestLimits.NAME_DESCRIPTION,
                        "$.services[0].criticality: found \"high\", expected critical, important,"
                                + " normal or sheddable",
                        "$.services[0].instances: found 0, expected a whole number from 1 to"
                                + " 10000",
                        "$.services[0].connections: found 4, expected at least the number of"
                                + " slots, 8",
                        "$.services[0].latency_goal_ms: found \"10\", expected a whole number from"
                                + " 1 to 600000",
                        "$.services[0].zones[1]: found \"z\", expected a value that is not in the"
                                + " list yet",
                        "$.services[0].idempotent_methods: found {}, expected a list",
                        "$.services[0].team: found x, expected the name of a team of this"
                                + " manifest",
                        "$.jobs[0].deadline: found \"2026-01-01T00:00:00Z\", expected a time"
                                + " after the release, 2026-01-02T00:00:00Z",
                        "$.jobs[0].urgent: found 1, expected true or false");
    }

    /**
     * Guards against follow-up errors that another error causes, such as a placeholder name
     * reported as a duplicate.
     */
    @Test
    void missingNamesAreReportedOnceEach() {
        String quota = "\"quota\":{\"processors_milli\":0,\"memory_mebibytes\":0}";
        String text =
                "{\"schema\":1,\"base\":-1,\"teams\":[{"
                        + quota
                        + "},{"
                        + quota
                        + "}],\"services\":"
                        + "[{\"name\":\"a\",\"instances\":1,\"slots\":1,\"connections\":1,"
                        + "\"latency_goal_ms\":1}]}";

        assertThat(errors(text).stream().map(ManifestError::path))
                .containsExactly("$.services[0].team", "$.teams[0].name", "$.teams[1].name");
    }

    /** Guards against readers that disagree on which of two duplicate fields counts. */
    @Test
    void duplicateFieldsAndTrailingTextAreErrors() {
        assertThat(errors("{\"schema\":1,\"base\":-1,\"base\":0}")).hasSize(1);
        assertThat(errors("{\"schema\":1,\"base\":-1} {}")).hasSize(1);
        assertThat(errors("")).hasSize(1);
        assertThat(errors("[]")).hasSize(1);
    }

    /**
     * Guards against a parser that throws on corrupted bytes, since any client can append to the
     * log.
     */
    @Property(seed = "11", tries = 2000)
    void corruptedManifestsNeverThrow(@ForAll long seed) throws IOException {
        byte[] bytes = documentedExample().getBytes(StandardCharsets.UTF_8);
        Random random = new Random(seed);
        int changes = 1 + random.nextInt(4);
        for (int change = 0; change < changes; change++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }

        assertThat(ManifestParser.parse(bytes)).isNotNull();
    }

    /**
     * Guards against slices that are invalid manifests, and against a merge that loses or
     * duplicates services.
     */
    @Test
    void slicesAreValidManifestsAndMergeWithoutDuplicates() throws IOException {
        Manifest manifest = parse(documentedExample());
        Set<ServiceName> names =
                manifest.services().stream()
                        .map(ServiceSpecification::name)
                        .collect(Collectors.toSet());
        Manifest merged = new Manifest(manifest.base(), 1, List.of(), List.of(), List.of());
        for (ServiceName name : names) {
            Manifest slice = ManifestSlices.slice(manifest, Set.of(name));
            assertThat(slice.services()).hasSize(1);
            assertThat(ManifestParser.parse(ManifestWriter.write(slice)).isValid()).isTrue();
            merged = ManifestSlices.merge(ManifestSlices.merge(merged, slice), slice);
        }

        assertThat(merged.services()).containsExactlyInAnyOrderElementsOf(manifest.services());
        assertThat(merged.teams()).doesNotHaveDuplicates();
    }

    private static String documentedExample() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "manifest.md"));
        String begin = "```json\n";
        int start = page.indexOf(begin) + begin.length();
        return page.substring(start, page.indexOf("```", start));
    }

    private static Manifest parse(String text) {
        return ManifestParser.parse(text.getBytes(StandardCharsets.UTF_8)).get();
    }

    private static List<ManifestError> errors(String text) {
        return ManifestParser.parse(text.getBytes(StandardCharsets.UTF_8)).getError().asJava();
    }

    /** Guards against an error that ends the reader of the configuration stream. */
    @ParameterizedTest
    @ValueSource(ints = {100, 499, 990, 100_000})
    void rejectsDeepNesting(int depth) {
        String content = "{\"schema\":" + "[".repeat(depth) + "]".repeat(depth) + "}";

        assertThat(ManifestParser.parse(content.getBytes(StandardCharsets.UTF_8)).isInvalid())
                .isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"18446744073709551617", "1e999", "1e999999999", "-1", "\"1\""})
    void rejectsOddNumber(String number) {
        String content = "{\"schema\":" + number + ",\"base\":" + number + "}";

        assertThat(ManifestParser.parse(content.getBytes(StandardCharsets.UTF_8)).isInvalid())
                .isTrue();
    }
}
