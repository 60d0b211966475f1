package org.hickorycleat.model.manifest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hickorycleat.model.task.Resources;

/** Serializes a manifest to JSON; {@link ManifestParser} reads it back as an equal manifest. */
public final class ManifestWriter {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ManifestWriter() {}

    /** Returns the manifest as UTF-8 encoded JSON. */
    public static byte[] write(Manifest manifest) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("schema", ManifestLimits.SCHEMA);
        json.put("base", manifest.base().value());
        json.put("placement_shards", manifest.placementShards());
        ArrayNode teams = json.putArray("teams");
        manifest.teams().forEach(team -> write(team, teams.addObject()));
        ArrayNode services = json.putArray("services");
        manifest.services().forEach(service -> write(service, services.addObject()));
        ArrayNode jobs = json.putArray("jobs");
        manifest.jobs().forEach(job -> write(job, jobs.addObject()));
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("failed to serialize a JSON tree", exception);
        }
    }

    private static void write(TeamSpecification team, ObjectNode json) {
        json.put("name", team.name().value());
        json.put("weight", team.weight());
        write(team.quota(), json.putObject("quota"));
    }

    private static void write(ServiceSpecification service, ObjectNode json) {
        json.put("name", service.name().value());
        json.put("team", service.team().value());
        json.put("criticality", service.criticality().wireName());
        json.put("instances", service.instances());
        json.put("slots", service.slots());
        json.put("connections", service.connections());
        json.put("latency_goal_ms", service.latencyGoalMs());
        ArrayNode zones = json.putArray("zones");
        service.zones().forEach(zone -> zones.add(zone.value()));
        ArrayNode methods = json.putArray("idempotent_methods");
        service.idempotentMethods().stream().sorted().forEach(methods::add);
    }

    private static void write(JobSpecification job, ObjectNode json) {
        json.put("name", job.name().value());
        json.put("run", job.run());
        json.put("team", job.team().value());
        json.put("criticality", job.criticality().wireName());
        write(job.resources(), json.putObject("resources"));
        json.put("estimated_seconds", job.estimatedSeconds());
        job.release().ifPresent(release -> json.put("release", release.toString()));
        job.deadline().ifPresent(deadline -> json.put("deadline", deadline.toString()));
        json.put("checkpointable", job.checkpointable());
        json.put("urgent", job.urgent());
    }

    private static void write(Resources resources, ObjectNode json) {
        json.put("processors_milli", resources.processorsMilli());
        json.put("memory_mebibytes", resources.memoryMebibytes());
        json.put("accelerators", resources.accelerators());
    }
}
