package org.hickorycleat.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * What a command prints on standard output.
 *
 * @param json output for programs
 * @param text output for people, lines of at most 80 columns
 * @param failure failure to report besides, when only a part succeeded
 */
public record CommandOutput(JsonNode json, String text, Optional<CommandFailure> failure) {
    /** Creates the output of a command that succeeded. */
    public CommandOutput(JsonNode json, String text) {
        this(json, text, Optional.empty());
    }
}
