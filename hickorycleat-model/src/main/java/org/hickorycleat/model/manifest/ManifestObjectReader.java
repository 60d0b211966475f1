package org.hickorycleat.model.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Reads the fields of one JSON object and collects every error instead of stopping at the first. An
 * invalid field yields a placeholder value; the result is discarded if there is any error.
 */
final class ManifestObjectReader {
    private static final int MAXIMUM_VALUE_CHARACTERS = 60;

    /** Placeholder for an invalid name; no valid name contains it. */
    static final String PLACEHOLDER_NAME = "?";

    private final JsonNode mNode;
    private final String mPath;
    private final List<ManifestError> mErrors;
    private final Set<String> mReadFields = new HashSet<>();

    ManifestObjectReader(JsonNode node, String path, List<ManifestError> errors) {
        mNode = node;
        mPath = path;
        mErrors = errors;
        if (!node.isObject()) {
            report(path, node, "an object");
        }
    }

    String path(String field) {
        return mPath + "." + field;
    }

    String name(String field) {
        return name(path(field), readField(field));
    }

    long number(String field, long minimum, long maximum) {
        return number(path(field), readField(field), minimum, maximum);
    }

    long number(String field, long minimum, long maximum, long defaultValue) {
        JsonNode node = readField(field);
        return node.isMissingNode() ? defaultValue : number(path(field), node, minimum, maximum);
    }

    boolean flag(String field) {
        JsonNode node = readField(field);
        if (!node.isMissingNode() && !node.isBoolean()) {
            report(path(field), node, "true or false");
        }
        return node.asBoolean();
    }

    Criticality criticality(String field) {
        JsonNode node = readField(field);
        if (node.isMissingNode()) {
            return Criticality.NORMAL;
        }
        Optional<Criticality> found =
                node.isTextual() ? Criticality.ofWireName(node.textValue()) : Optional.empty();
        if (found.isEmpty()) {
            report(path(field), node, "critical, important, normal or sheddable");
        }
        return found.orElse(Criticality.NORMAL);
    }

    Optional<Instant> instant(String field) {
        JsonNode node = readField(field);
        if (node.isMissingNode()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Instant.parse(node.isTextual() ? node.textValue() : ""));
        } catch (DateTimeException exception) {
            report(path(field), node, "a time in UTC such as 2026-01-31T04:00:00Z");
            return Optional.empty();
        }
    }

    /**
     * Reads a list of distinct strings that match a pattern; an absent field gives an empty list.
     */
    List<String> strings(String field, Pattern pattern, String description) {
        JsonNode node = readField(field);
        List<String> values = new ArrayList<>();
        if (!isAbsentOrArray(field, node)) {
            return values;
        }
        for (int index = 0; index < node.size(); index++) {
            String path = path(field) + "[" + index + "]";
            JsonNode element = node.get(index);
            if (!element.isTextual() || !pattern.matcher(element.textValue()).matches()) {
                report(path, element, description);
            } else if (values.contains(element.textValue())) {
                report(path, element, "a value that is not in the list yet");
            } else {
                values.add(element.textValue());
            }
        }
        return values;
    }

    /** Reads a list of objects; an absent field gives an empty list. */
    <T> List<T> objects(String field, Function<ManifestObjectReader, T> read) {
        JsonNode node = readField(field);
        List<T> values = new ArrayList<>();
        if (!isAbsentOrArray(field, node)) {
            return values;
        }
        for (int index = 0; index < node.size(); index++) {
            String path = path(field) + "[" + index + "]";
            values.add(object(node.get(index), path, read));
        }
        return values;
    }

    /** Reads a required object. */
    <T> T object(String field, Function<ManifestObjectReader, T> read) {
        return object(readField(field), path(field), read);
    }

    void report(String field, String expected) {
        report(path(field), mNode.path(field), expected);
    }

    /** Reports an error for each field that has not been read. */
    void reportUnknownFields() {
        mNode.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!mReadFields.contains(field)) {
                                report(field, "no such field in schema " + ManifestLimits.SCHEMA);
                            }
                        });
    }

    private <T> T object(JsonNode node, String path, Function<ManifestObjectReader, T> read) {
        ManifestObjectReader reader = new ManifestObjectReader(node, path, mErrors);
        int errorsBefore = mErrors.size();
        T value = read.apply(node.isObject() ? reader : new ManifestObjectReader(node));
        if (errorsBefore == mErrors.size() || node.isObject()) {
            reader.reportUnknownFields();
        }
        return value;
    }

    /**
     * Creates a reader that yields placeholder values for a node that is not an object. The type
     * error is reported by the caller, so errors of its fields are discarded.
     */
    private ManifestObjectReader(JsonNode node) {
        mNode = node;
        mPath = "";
        mErrors = new ArrayList<>();
    }

    private JsonNode readField(String field) {
        mReadFields.add(field);
        JsonNode node = mNode.get(field);
        return node == null ? MissingNode.getInstance() : node;
    }

    private String name(String path, JsonNode node) {
        if (node.isTextual() && ManifestLimits.NAME.matcher(node.textValue()).matches()) {
            return node.textValue();
        }
        report(path, node, ManifestLimits.NAME_DESCRIPTION);
        return PLACEHOLDER_NAME;
    }

    private long number(String path, JsonNode node, long minimum, long maximum) {
        if (node.isIntegralNumber() && node.canConvertToLong()) {
            long value = node.longValue();
            if (value >= minimum && value <= maximum) {
                return value;
            }
        }
        report(path, node, "a whole number from " + minimum + " to " + maximum);
        return minimum;
    }

    private boolean isAbsentOrArray(String field, JsonNode node) {
        if (node.isMissingNode() || node.isArray()) {
            return true;
        }
        report(path(field), node, "a list");
        return false;
    }

    private void report(String path, JsonNode node, String expected) {
        mErrors.add(new ManifestError(path, abbreviate(node), expected));
    }

    private static String abbreviate(JsonNode node) {
        if (node.isMissingNode()) {
            return "nothing";
        }
        String text = node.toString();
        return text.length() <= MAXIMUM_VALUE_CHARACTERS
                ? text
                : text.substring(0, MAXIMUM_VALUE_CHARACTERS - 3) + "...";
    }
}
