package org.hickorycleat.logic.ownership;

import java.io.IOException;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskSpecification;

/** Encodes and decodes the specification, checkpoint and result of a task. */
final class TaskCodec {
    void specification(FieldWriter writer, TaskSpecification task) {
        writer.text(task.task().value())
                .text(task.team().value())
                .optional(task.service(), service -> writer.text(service.value()))
                .text(task.criticality().name())
                .number(task.resources().processorsMilli())
                .number(task.resources().memoryMebibytes())
                .number(task.resources().accelerators())
                .number(task.estimatedMs())
                .number(task.releaseMs())
                .number(task.deadlineMs())
                .flag(task.checkpointable())
                .flag(task.urgent());
    }

    TaskSpecification specification(FieldReader reader) throws IOException {
        return new TaskSpecification(
                new TaskId(reader.text()),
                new TeamName(reader.text()),
                reader.optional(() -> new ServiceName(reader.text())),
                Criticality.valueOf(reader.text()),
                new Resources(reader.number(), reader.number(), reader.number()),
                reader.number(),
                reader.number(),
                reader.number(),
                reader.flag(),
                reader.flag());
    }

    void checkpoint(FieldWriter writer, Checkpoint checkpoint) {
        writer.text(checkpoint.name()).number(checkpoint.progressMs()).number(checkpoint.savedMs());
    }

    Checkpoint checkpoint(FieldReader reader) throws IOException {
        return new Checkpoint(reader.text(), reader.number(), reader.number());
    }

    void result(FieldWriter writer, TaskResult result) {
        writer.text(result.outcome().name())
                .number(result.code().number())
                .text(result.reason())
                .number(result.endedMs());
    }

    TaskResult result(FieldReader reader) throws IOException {
        return new TaskResult(
                TaskResult.Outcome.valueOf(reader.text()),
                ResultCode.ofNumber(reader.smallNumber())
                        .orElseThrow(() -> new IllegalArgumentException("unknown result code")),
                reader.text(),
                reader.number());
    }
}
