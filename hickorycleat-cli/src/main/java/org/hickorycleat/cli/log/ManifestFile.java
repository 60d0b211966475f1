package org.hickorycleat.cli.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.NonOptionArgumentSpec;
import joptsimple.OptionSet;
import org.hickorycleat.cli.CommandFailure;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ManifestError;
import org.hickorycleat.model.manifest.ManifestParser;
import org.hickorycleat.model.result.ResultCode;

/**
 * A valid manifest that was read from a file.
 *
 * @param bytes bytes to publish
 * @param manifest parsed manifest
 */
@SuppressWarnings("ArrayRecordComponent") // Not copied: the array is never modified.
record ManifestFile(byte[] bytes, Manifest manifest) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads the file named by the single argument. */
    static Either<CommandFailure, byte[]> read(
            OptionSet options, NonOptionArgumentSpec<String> fileArgument) {
        List<String> names = options.valuesOf(fileArgument);
        if (names.size() != 1) {
            return Either.left(new CommandFailure(ResultCode.USAGE, "expected exactly one FILE"));
        }
        try {
            return Either.right(Files.readAllBytes(Path.of(names.get(0))));
        } catch (IOException exception) {
            return Either.left(
                    new CommandFailure(
                            ResultCode.NOT_FOUND, "cannot read the file " + names.get(0)));
        }
    }

    /**
     * Replaces the base version; returns an invalid manifest unchanged so that the parser reports
     * its errors.
     */
    static byte[] withBase(byte[] bytes, long base) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (ManifestParser.parse(bytes).isValid() && node instanceof ObjectNode object) {
                return MAPPER.writerWithDefaultPrettyPrinter()
                        .writeValueAsBytes(object.put("base", base));
            }
        } catch (IOException exception) {
            return bytes;
        }
        return bytes;
    }

    /** Parses a manifest; the left side lists all errors. */
    static Either<CommandFailure, ManifestFile> parse(byte[] bytes) {
        return ManifestParser.parse(bytes)
                .toEither()
                .map(manifest -> new ManifestFile(bytes, manifest))
                .mapLeft(errors -> invalid(errors.asJava()));
    }

    private static CommandFailure invalid(List<ManifestError> errors) {
        return new CommandFailure(
                ResultCode.INVALID_MANIFEST,
                errors.size() == 1 ? "1 error" : errors.size() + " errors",
                errors.stream().map(ManifestError::toString).toList());
    }
}
