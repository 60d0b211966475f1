package org.hickorycleat.model.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/** Lists what differs between two manifests; the order of entries does not count. */
public final class ManifestDifference {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ManifestDifference() {}

    /** Returns the changes from one manifest to another, by team, service and job. */
    public static List<ManifestChange> between(Manifest before, Manifest after) {
        JsonNode old = tree(before);
        JsonNode current = tree(after);
        List<ManifestChange> changes = new ArrayList<>();
        String shards = "placement_shards";
        if (!old.path(shards).equals(current.path(shards))) {
            changes.add(
                    new ManifestChange(
                            ManifestChange.Kind.CHANGED,
                            shards,
                            old.path(shards) + " -> " + current.path(shards)));
        }
        Function<JsonNode, String> byName = entry -> entry.path("name").asText();
        compare("team", old.path("teams"), current.path("teams"), byName, changes);
        compare("service", old.path("services"), current.path("services"), byName, changes);
        compare(
                "job",
                old.path("jobs"),
                current.path("jobs"),
                entry -> byName.apply(entry) + " run " + entry.path("run").asText(),
                changes);
        return changes;
    }

    private static JsonNode tree(Manifest manifest) {
        try {
            return MAPPER.readTree(ManifestWriter.write(manifest));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static void compare(
            String kind,
            JsonNode before,
            JsonNode after,
            Function<JsonNode, String> key,
            List<ManifestChange> changes) {
        Map<String, JsonNode> old = byKey(before, key);
        Map<String, JsonNode> current = byKey(after, key);
        old.forEach(
                (name, entry) -> {
                    JsonNode changed = current.get(name);
                    if (changed == null) {
                        changes.add(change(ManifestChange.Kind.REMOVED, kind, name, ""));
                    } else if (!changed.equals(entry)) {
                        changes.add(
                                change(
                                        ManifestChange.Kind.CHANGED,
                                        kind,
                                        name,
                                        changedFields(entry, changed)));
                    }
                });
        current.keySet().stream()
                .filter(name -> !old.containsKey(name))
                .forEach(name -> changes.add(change(ManifestChange.Kind.ADDED, kind, name, "")));
    }

    private static ManifestChange change(
            ManifestChange.Kind change, String kind, String name, String detail) {
        return new ManifestChange(change, kind + " " + name, detail);
    }

    private static Map<String, JsonNode> byKey(JsonNode list, Function<JsonNode, String> key) {
        Map<String, JsonNode> entries = new LinkedHashMap<>();
        list.forEach(entry -> entries.put(key.apply(entry), entry));
        return entries;
    }

    private static String changedFields(JsonNode before, JsonNode after) {
        Set<String> names = new TreeSet<>();
        before.fieldNames().forEachRemaining(names::add);
        after.fieldNames().forEachRemaining(names::add);
        List<String> fields = new ArrayList<>();
        for (String name : names) {
            if (!before.path(name).equals(after.path(name))) {
                fields.add(name + " " + text(before.path(name)) + " -> " + text(after.path(name)));
            }
        }
        return String.join(", ", fields);
    }

    private static String text(JsonNode value) {
        return value.isMissingNode() ? "none" : value.toString();
    }
}
