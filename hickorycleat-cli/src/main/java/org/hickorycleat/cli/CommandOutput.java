package org.hickorycleat.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Output of a command on standard output.
 *
 * @param json machine-readable output
 * @param text human-readable output, in lines of at most 80 columns
 * @param failure failure to report in addition if the command succeeded only in part
 */
public record CommandOutput(JsonNode json, String text, Optional<CommandFailure> failure) {
    /** Creates the output of a command that succeeded. */
    public CommandOutput(JsonNode json, String text) {
        this(json, text, Optional.empty());
    }
}
