package org.hickorycleat.standins.worker;

import java.util.Optional;
import org.hickorycleat.model.result.ResultCode;

/** Response to a command, with the status of the attempt if the command applied to one. */
public record CommandResponse(ResultCode code, Optional<AttemptStatus> task) {
    static CommandResponse of(ResultCode code) {
        return new CommandResponse(code, Optional.empty());
    }
}
