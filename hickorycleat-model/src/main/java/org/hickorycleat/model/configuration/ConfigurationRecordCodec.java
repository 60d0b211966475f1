package org.hickorycleat.model.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RecordId;

/** Converts records of the configuration stream to and from JSON; see docs/interfaces.md. */
public final class ConfigurationRecordCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PUBLICATION = "manifest";
    private static final String SNAPSHOT = "snapshot";

    private ConfigurationRecordCodec() {}

    /** Encodes a record. */
    public static byte[] encode(ConfigurationRecord record) {
        ObjectNode node = MAPPER.createObjectNode();
        if (record instanceof ConfigurationRecord.Snapshot snapshot) {
            node.put("kind", SNAPSHOT);
            node.put("version", snapshot.version().value());
            node.put("as_of", snapshot.asOf());
        } else {
            node.put("kind", PUBLICATION);
        }
        node.put("writer", record.id().writer().value());
        node.put("incarnation", record.id().incarnation().value());
        node.put("sequence", record.id().sequence());
        node.put("manifest", record.manifest());
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("failed to serialize a JSON tree", exception);
        }
    }

    /** Decodes a record; empty if the payload is malformed, in which case every reader skips it. */
    public static Optional<ConfigurationRecord> decode(byte[] payload) {
        try {
            return decode(MAPPER.readTree(payload));
        } catch (IOException | IllegalArgumentException exception) {
            return Optional.empty();
        }
    }

    private static Optional<ConfigurationRecord> decode(JsonNode node) throws IOException {
        JsonNode manifest = node.path("manifest");
        if (!manifest.isTextual() || !node.path("writer").isTextual()) {
            return Optional.empty();
        }
        RecordId id =
                new RecordId(
                        new ProcessId(node.path("writer").textValue()),
                        new Incarnation(requireInteger(node, "incarnation")),
                        requireInteger(node, "sequence"));
        return switch (node.path("kind").asText()) {
            case PUBLICATION ->
                    Optional.of(new ConfigurationRecord.Publication(id, manifest.binaryValue()));
            case SNAPSHOT -> Optional.of(snapshot(id, node, manifest.binaryValue()));
            default -> Optional.empty();
        };
    }

    private static ConfigurationRecord snapshot(RecordId id, JsonNode node, byte[] manifest) {
        return new ConfigurationRecord.Snapshot(
                id,
                new ConfigurationVersion(requireInteger(node, "version")),
                requireInteger(node, "as_of"),
                manifest);
    }

    private static long requireInteger(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(field + " is not a whole number");
        }
        return value.longValue();
    }
}
