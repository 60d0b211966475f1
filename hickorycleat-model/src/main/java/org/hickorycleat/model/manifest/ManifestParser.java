package org.hickorycleat.model.manifest;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Validation;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.task.Resources;

/**
 * Parses and validates a manifest and reports all of its errors at once.
 *
 * <p>The result depends only on the bytes, because all readers of the log must reach the same
 * result.
 */
public final class ManifestParser {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    /**
     * Methods that HTTP defines as safe; other methods are retried only if the manifest lists them.
     */
    private static final Set<String> DEFAULT_IDEMPOTENT_METHODS = Set.of("GET", "HEAD");

    private ManifestParser() {}

    /** Parses a serialized manifest; returns either the manifest or all validation errors. */
    public static Validation<Seq<ManifestError>, Manifest> parse(byte[] bytes) {
        if (bytes.length > ManifestLimits.MAXIMUM_BYTES) {
            return invalid(
                    bytes.length + " bytes", "at most " + ManifestLimits.MAXIMUM_BYTES + " bytes");
        }
        try {
            return parse(MAPPER.readTree(bytes));
        } catch (JsonProcessingException exception) {
            return invalid(
                    errorWithLocation(exception), "well-formed JSON without repeated fields");
        } catch (IOException exception) {
            return invalid(String.valueOf(exception.getMessage()), "well-formed JSON");
        }
    }

    private static Validation<Seq<ManifestError>, Manifest> invalid(String value, String expected) {
        return Validation.invalid(Vector.of(new ManifestError("$", value, expected)));
    }

    private static String errorWithLocation(JsonProcessingException exception) {
        String message = exception.getOriginalMessage();
        return exception.getLocation() == null
                ? message
                : message
                        + " at line "
                        + exception.getLocation().getLineNr()
                        + ", column "
                        + exception.getLocation().getColumnNr();
    }

    private static Validation<Seq<ManifestError>, Manifest> parse(JsonNode root) {
        if (!root.isObject()) {
            String found = root.isMissingNode() ? "nothing" : root.getNodeType().toString();
            return invalid(found, "an object");
        }
        List<ManifestError> errors = new ArrayList<>();
        ManifestObjectReader reader = new ManifestObjectReader(root, "$", errors);
        Manifest manifest = manifest(reader);
        reader.reportUnknownFields();
        checkReferences(manifest, errors);
        return errors.isEmpty()
                ? Validation.valid(manifest)
                : Validation.invalid(Vector.ofAll(errors));
    }

    private static Manifest manifest(ManifestObjectReader reader) {
        reader.number("schema", ManifestLimits.SCHEMA, ManifestLimits.SCHEMA);
        long base = reader.number("base", -1, Long.MAX_VALUE);
        long shards =
                reader.number("placement_shards", 1, ManifestLimits.MAXIMUM_PLACEMENT_SHARDS, 1);
        return new Manifest(
                new ConfigurationVersion(base),
                (int) shards,
                reader.objects("services", ManifestParser::service),
                reader.objects("jobs", ManifestParser::job),
                reader.objects("teams", ManifestParser::team));
    }

    private static ServiceSpecification service(ManifestObjectReader reader) {
        ServiceName name = new ServiceName(reader.name("name"));
        TeamName team = new TeamName(reader.name("team"));
        Criticality criticality = reader.criticality("criticality");
        long instances = reader.number("instances", 1, ManifestLimits.MAXIMUM_INSTANCES);
        long slots = reader.number("slots", 1, ManifestLimits.MAXIMUM_SLOTS);
        long connections = reader.number("connections", 1, ManifestLimits.MAXIMUM_CONNECTIONS);
        long latencyGoalMs =
                reader.number("latency_goal_ms", 1, ManifestLimits.MAXIMUM_LATENCY_GOAL_MS);
        if (connections < slots) {
            reader.report("connections", "at least the number of slots, " + slots);
        }
        return new ServiceSpecification(
                name,
                team,
                criticality,
                (int) instances,
                (int) slots,
                (int) connections,
                latencyGoalMs,
                zones(reader),
                methods(reader));
    }

    private static List<ZoneId> zones(ManifestObjectReader reader) {
        return reader
                .strings("zones", ManifestLimits.NAME, ManifestLimits.NAME_DESCRIPTION)
                .stream()
                .map(ZoneId::new)
                .toList();
    }

    private static Set<String> methods(ManifestObjectReader reader) {
        List<String> methods =
                reader.strings("idempotent_methods", ManifestLimits.METHOD, "a method in capitals");
        return methods.isEmpty() ? DEFAULT_IDEMPOTENT_METHODS : Set.copyOf(methods);
    }

    private static JobSpecification job(ManifestObjectReader reader) {
        JobSpecification job =
                new JobSpecification(
                        new JobName(reader.name("name")),
                        reader.name("run"),
                        new TeamName(reader.name("team")),
                        reader.criticality("criticality"),
                        reader.object("resources", ManifestParser::resources),
                        reader.number(
                                "estimated_seconds", 1, ManifestLimits.MAXIMUM_ESTIMATED_SECONDS),
                        reader.instant("release"),
                        reader.instant("deadline"),
                        reader.flag("checkpointable"),
                        reader.flag("urgent"));
        if (job.release().isPresent()
                && job.deadline().isPresent()
                && !job.release().get().isBefore(job.deadline().get())) {
            reader.report("deadline", "a time after the release, " + job.release().get());
        }
        return job;
    }

    private static TeamSpecification team(ManifestObjectReader reader) {
        return new TeamSpecification(
                new TeamName(reader.name("name")),
                (int) reader.number("weight", 1, ManifestLimits.MAXIMUM_WEIGHT, 1),
                reader.object("quota", ManifestParser::resources));
    }

    private static Resources resources(ManifestObjectReader reader) {
        long maximum = ManifestLimits.MAXIMUM_RESOURCE;
        return new Resources(
                reader.number("processors_milli", 0, maximum),
                reader.number("memory_mebibytes", 0, maximum),
                reader.number("accelerators", 0, maximum, 0));
    }

    private static void checkReferences(Manifest manifest, List<ManifestError> errors) {
        reportDuplicates(manifest.teams(), "$.teams", team -> team.name().value(), errors);
        reportDuplicates(manifest.services(), "$.services", item -> item.name().value(), errors);
        reportDuplicates(manifest.jobs(), "$.jobs", ManifestParser::jobIdentity, errors);
        Set<TeamName> teams = new HashSet<>();
        manifest.teams().forEach(team -> teams.add(team.name()));
        reportUnknownTeams(
                manifest.services(), "$.services", ServiceSpecification::team, teams, errors);
        reportUnknownTeams(manifest.jobs(), "$.jobs", JobSpecification::team, teams, errors);
    }

    private static String jobIdentity(JobSpecification job) {
        return job.name() + " run " + job.run();
    }

    private static <T> void reportDuplicates(
            List<T> items, String path, Function<T, String> key, List<ManifestError> errors) {
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < items.size(); index++) {
            String value = key.apply(items.get(index));
            if (!seen.add(value) && !value.contains(ManifestObjectReader.PLACEHOLDER_NAME)) {
                errors.add(
                        new ManifestError(
                                path + "[" + index + "]", value, "a name that is not taken"));
            }
        }
    }

    private static <T> void reportUnknownTeams(
            List<T> items,
            String path,
            Function<T, TeamName> team,
            Set<TeamName> teams,
            List<ManifestError> errors) {
        for (int index = 0; index < items.size(); index++) {
            TeamName name = team.apply(items.get(index));
            if (!teams.contains(name)
                    && !name.value().equals(ManifestObjectReader.PLACEHOLDER_NAME)) {
                errors.add(
                        new ManifestError(
                                path + "[" + index + "].team",
                                name.value(),
                                "the name of a team of this manifest"));
            }
        }
    }
}
