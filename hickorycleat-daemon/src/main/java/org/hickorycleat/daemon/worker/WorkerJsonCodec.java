package org.hickorycleat.daemon.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.logic.port.TaskUsage;
import org.hickorycleat.logic.port.WorkerListing;
import org.hickorycleat.logic.port.WorkerRenewal;
import org.hickorycleat.logic.port.WorkerResponse;
import org.hickorycleat.logic.port.WorkerStart;
import org.hickorycleat.logic.port.WorkerTask;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.Resources;
import org.hickorycleat.model.task.TaskState;

/**
 * Encodes and decodes JSON bodies of the worker interface; malformed responses throw IOException.
 */
final class WorkerJsonCodec {
    private final ObjectMapper mMapper = new ObjectMapper();

    ObjectNode fence(ShardNumber shard, Epoch epoch) {
        return mMapper.createObjectNode().put("shard", shard.value()).put("epoch", epoch.value());
    }

    ObjectNode attempt(ShardNumber shard, Epoch epoch, TaskId task, AttemptNumber attempt) {
        return fence(shard, epoch).put("task", task.value()).put("attempt", attempt.value());
    }

    ObjectNode start(WorkerStart start) {
        ObjectNode body =
                attempt(start.shard(), start.epoch(), start.task(), start.attempt())
                        .put("incarnation", start.incarnation().value())
                        .put("processors_milli", start.resources().processorsMilli())
                        .put("memory_mebibytes", start.resources().memoryMebibytes())
                        .put("accelerators", start.resources().accelerators())
                        .put("lease_until_ms", start.leaseUntilMs())
                        .put("run_ms", start.runMs());
        start.checkpoint().ifPresent(name -> body.put("checkpoint", name));
        return body;
    }

    ObjectNode renewal(WorkerRenewal renewal) {
        ObjectNode body =
                fence(renewal.shard(), renewal.epoch())
                        .put("incarnation", renewal.incarnation().value())
                        .put("lease_until_ms", renewal.leaseUntilMs());
        ArrayNode tasks = body.putArray("tasks");
        renewal.tasks()
                .forEach(
                        attempt ->
                                tasks.addObject()
                                        .put("task", attempt.task().value())
                                        .put("attempt", attempt.attempt().value()));
        return body;
    }

    JsonNode parse(byte[] body) throws IOException {
        return mMapper.readTree(body);
    }

    static ResultCode resultCode(JsonNode body) throws IOException {
        int number = (int) number(body, "code");
        return ResultCode.ofNumber(number)
                .orElseThrow(() -> new IOException("unknown result code: " + number));
    }

    /** Decodes a body into a value. */
    private interface Decoder<T> {
        T decode(JsonNode body) throws IOException;
    }

    // Value types reject what cannot be an identifier or an amount.
    private static <T> T decode(JsonNode body, Decoder<T> decoder) throws IOException {
        try {
            return decoder.decode(body);
        } catch (IllegalArgumentException exception) {
            throw new IOException("value out of range", exception);
        }
    }

    static WorkerResponse response(JsonNode body) throws IOException {
        return decode(body, WorkerJsonCodec::decodeResponse);
    }

    static WorkerListing listing(JsonNode body) throws IOException {
        return decode(body, WorkerJsonCodec::decodeListing);
    }

    static List<TaskUsage> usage(JsonNode body) throws IOException {
        return decode(body, WorkerJsonCodec::decodeUsage);
    }

    private static WorkerResponse decodeResponse(JsonNode body) throws IOException {
        return new WorkerResponse(
                resultCode(body),
                body.hasNonNull("task") ? Optional.of(task(body.get("task"))) : Optional.empty());
    }

    private static WorkerListing decodeListing(JsonNode body) throws IOException {
        List<WorkerTask> tasks = new ArrayList<>();
        for (JsonNode task : body.path("tasks")) {
            tasks.add(task(task));
        }
        return new WorkerListing(
                new WorkerId(text(body, "worker")),
                new Incarnation(number(body, "incarnation")),
                number(body, "clock_ms"),
                new RackId(text(body, "rack")),
                new Resources(
                        number(body, "processors_milli"),
                        number(body, "memory_mebibytes"),
                        number(body, "accelerators")),
                tasks);
    }

    private static List<TaskUsage> decodeUsage(JsonNode body) throws IOException {
        List<TaskUsage> usages = new ArrayList<>();
        for (JsonNode usage : body.path("usage")) {
            usages.add(
                    new TaskUsage(
                            new TaskId(text(usage, "task")),
                            number(usage, "processors_milli"),
                            number(usage, "memory_mebibytes"),
                            number(usage, "measured_ago_ms")));
        }
        return usages;
    }

    private static WorkerTask task(JsonNode task) throws IOException {
        return new WorkerTask(
                new ShardNumber(number(task, "shard")),
                new TaskId(text(task, "task")),
                new AttemptNumber(number(task, "attempt")),
                state(text(task, "state")),
                task.hasNonNull("checkpoint")
                        ? Optional.of(text(task, "checkpoint"))
                        : Optional.empty(),
                number(task, "progress_ms"));
    }

    private static TaskState state(String name) throws IOException {
        try {
            return TaskState.valueOf(name);
        } catch (IllegalArgumentException exception) {
            throw new IOException("unknown task state: " + name, exception);
        }
    }

    private static long number(JsonNode node, String name) throws IOException {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IOException(name + " is not a whole number in range");
        }
        return value.longValue();
    }

    private static String text(JsonNode node, String name) throws IOException {
        JsonNode value = node.path(name);
        if (!value.isTextual()) {
            throw new IOException(name + " is not a string");
        }
        return value.textValue();
    }
}
