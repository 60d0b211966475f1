package org.hickorycleat.cli;

import java.util.List;
import org.hickorycleat.model.result.ResultCode;

/**
 * Failure of a command.
 *
 * @param code result code, which determines the exit code
 * @param detail one-line description for the operator
 * @param items individual errors, for example those of a manifest
 */
public record CommandFailure(ResultCode code, String detail, List<String> items) {
    /** Makes a defensive copy of the list. */
    public CommandFailure {
        items = List.copyOf(items);
    }

    /** Creates a failure without individual errors. */
    public CommandFailure(ResultCode code, String detail) {
        this(code, detail, List.of());
    }
}
