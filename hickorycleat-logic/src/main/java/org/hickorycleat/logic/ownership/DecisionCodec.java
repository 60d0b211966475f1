package org.hickorycleat.logic.ownership;

import java.io.IOException;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.task.TaskState;

/** Encodes and decodes the decisions of a batch. */
final class DecisionCodec {
    private static final int ADOPT_MANIFEST = 1;
    private static final int SUBMIT = 2;
    private static final int START = 3;
    private static final int STOP = 4;
    private static final int THROTTLE = 5;
    private static final int SAVE_CHECKPOINT = 6;
    private static final int END_ATTEMPT = 7;
    private static final int END_TASK = 8;
    private static final int REMOVE_TOMBSTONE = 9;

    private final TaskCodec mTasks = new TaskCodec();

    void write(FieldWriter writer, ShardDecision decision) {
        if (decision instanceof ShardDecision.AdoptManifest adopt) {
            writer.number(ADOPT_MANIFEST).number(adopt.version().value());
        } else if (decision instanceof ShardDecision.Submit submit) {
            writer.number(SUBMIT);
            mTasks.specification(writer, submit.specification());
            writer.number(submit.submittedMs());
        } else if (decision instanceof ShardDecision.Start start) {
            attempt(writer, START, start.task(), start.attempt())
                    .text(start.worker().value())
                    .number(start.workerIncarnation().value())
                    .number(start.startedMs());
        } else if (decision instanceof ShardDecision.Stop stop) {
            attempt(writer, STOP, stop.task(), stop.attempt())
                    .text(stop.cause().name())
                    .text(stop.reason());
        } else if (decision instanceof ShardDecision.Throttle throttle) {
            attempt(writer, THROTTLE, throttle.task(), throttle.attempt())
                    .number(throttle.permille());
        } else if (decision instanceof ShardDecision.SaveCheckpoint save) {
            attempt(writer, SAVE_CHECKPOINT, save.task(), save.attempt());
            mTasks.checkpoint(writer, save.checkpoint());
        } else if (decision instanceof ShardDecision.EndAttempt end) {
            attempt(writer, END_ATTEMPT, end.task(), end.attempt())
                    .text(end.state().name())
                    .optional(end.checkpoint(), saved -> mTasks.checkpoint(writer, saved))
                    .number(end.endedMs());
        } else if (decision instanceof ShardDecision.EndTask end) {
            writer.number(END_TASK).text(end.task().value());
            mTasks.result(writer, end.result());
        } else if (decision instanceof ShardDecision.RemoveTombstone removal) {
            writer.number(REMOVE_TOMBSTONE).text(removal.task().value());
        }
    }

    ShardDecision read(FieldReader reader) throws IOException {
        int type = reader.smallNumber();
        return switch (type) {
            case ADOPT_MANIFEST ->
                    new ShardDecision.AdoptManifest(new ConfigurationVersion(reader.number()));
            case SUBMIT -> new ShardDecision.Submit(mTasks.specification(reader), reader.number());
            case START ->
                    new ShardDecision.Start(
                            task(reader),
                            attempt(reader),
                            new WorkerId(reader.text()),
                            new Incarnation(reader.number()),
                            reader.number());
            case STOP ->
                    new ShardDecision.Stop(
                            task(reader),
                            attempt(reader),
                            StopCause.valueOf(reader.text()),
                            reader.text());
            case THROTTLE ->
                    new ShardDecision.Throttle(task(reader), attempt(reader), reader.smallNumber());
            case SAVE_CHECKPOINT ->
                    new ShardDecision.SaveCheckpoint(
                            task(reader), attempt(reader), mTasks.checkpoint(reader));
            case END_ATTEMPT ->
                    new ShardDecision.EndAttempt(
                            task(reader),
                            attempt(reader),
                            TaskState.valueOf(reader.text()),
                            reader.optional(() -> mTasks.checkpoint(reader)),
                            reader.number());
            case END_TASK -> new ShardDecision.EndTask(task(reader), mTasks.result(reader));
            case REMOVE_TOMBSTONE -> new ShardDecision.RemoveTombstone(task(reader));
            default -> throw new IllegalArgumentException("unknown decision type: " + type);
        };
    }

    private static FieldWriter attempt(
            FieldWriter writer, int type, TaskId task, AttemptNumber attempt) {
        return writer.number(type).text(task.value()).number(attempt.value());
    }

    private static TaskId task(FieldReader reader) throws IOException {
        return new TaskId(reader.text());
    }

    private static AttemptNumber attempt(FieldReader reader) throws IOException {
        return new AttemptNumber(reader.number());
    }
}
