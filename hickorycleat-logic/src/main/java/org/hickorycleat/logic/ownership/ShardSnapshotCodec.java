package org.hickorycleat.logic.ownership;

import java.io.IOException;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;

/** Encodes and decodes the state of a shard. */
final class ShardSnapshotCodec {
    private final TaskCodec mTasks = new TaskCodec();

    void write(FieldWriter writer, ShardSnapshot snapshot) {
        writer.number(snapshot.epoch().value())
                .optional(snapshot.owner(), owner -> ShardRecordCodec.owner(writer, owner))
                .number(snapshot.lastSequence())
                .number(snapshot.manifestVersion().value())
                .list(snapshot.tasks(), task -> task(writer, task))
                .list(
                        snapshot.ended(),
                        ended -> {
                            writer.text(ended.task().value());
                            mTasks.result(writer, ended.result());
                        })
                .list(snapshot.generations(), latest -> serviceGeneration(writer, latest));
    }

    ShardSnapshot read(FieldReader reader) throws IOException {
        return new ShardSnapshot(
                new Epoch(reader.number()),
                reader.optional(() -> ShardRecordCodec.owner(reader)),
                reader.number(),
                new ConfigurationVersion(reader.number()),
                reader.list(() -> task(reader)),
                reader.list(
                        () -> new TaskTombstone(new TaskId(reader.text()), mTasks.result(reader))),
                reader.list(() -> serviceGeneration(reader)));
    }

    private static void serviceGeneration(FieldWriter writer, ServiceTask latest) {
        writer.text(latest.instance().service().value())
                .number(latest.instance().instance().value())
                .number(latest.generation());
    }

    private static ServiceTask serviceGeneration(FieldReader reader) throws IOException {
        return new ServiceTask(
                new ServiceTask.ServiceInstance(
                        new ServiceName(reader.text()), new InstanceNumber(reader.number())),
                reader.number());
    }

    private void task(FieldWriter writer, TaskRecord task) {
        mTasks.specification(writer, task.specification());
        writer.number(task.submittedMs())
                .number(task.lastAttempt())
                .optional(task.attempt(), attempt -> attempt(writer, attempt))
                .optional(task.checkpoint(), saved -> mTasks.checkpoint(writer, saved))
                .number(task.evictions())
                .number(task.failures());
    }

    private TaskRecord task(FieldReader reader) throws IOException {
        return new TaskRecord(
                mTasks.specification(reader),
                reader.number(),
                reader.number(),
                reader.optional(() -> attempt(reader)),
                reader.optional(() -> mTasks.checkpoint(reader)),
                reader.smallNumber(),
                reader.smallNumber());
    }

    private static void attempt(FieldWriter writer, AttemptRecord attempt) {
        writer.number(attempt.number().value())
                .text(attempt.worker().value())
                .number(attempt.workerIncarnation().value())
                .number(attempt.startedMs())
                .number(attempt.throttlePermille())
                .optional(attempt.stop(), cause -> writer.text(cause.name()));
    }

    private static AttemptRecord attempt(FieldReader reader) throws IOException {
        return new AttemptRecord(
                new AttemptNumber(reader.number()),
                new WorkerId(reader.text()),
                new Incarnation(reader.number()),
                reader.number(),
                reader.smallNumber(),
                reader.optional(() -> StopCause.valueOf(reader.text())));
    }
}
