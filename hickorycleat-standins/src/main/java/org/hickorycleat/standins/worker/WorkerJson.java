package org.hickorycleat.standins.worker;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.AttemptNumber;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ShardNumber;
import org.hickorycleat.model.identifier.TaskId;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.Resources;

/** Parses and formats the JSON bodies of the worker's HTTP interface. */
final class WorkerJson {
    private final ObjectMapper mMapper = new ObjectMapper();

    JsonNode parse(String body) {
        try {
            return mMapper.readTree(body);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("body is not JSON", exception);
        }
    }

    static long number(JsonNode body, String name) {
        JsonNode value = body.path(name);
        if (!value.isIntegralNumber()) {
            throw new IllegalArgumentException(name + " is not a whole number");
        }
        return value.longValue();
    }

    static String text(JsonNode body, String name) {
        JsonNode value = body.path(name);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(name + " is not a string");
        }
        return value.textValue();
    }

    static ShardNumber shard(JsonNode body) {
        return new ShardNumber(number(body, "shard"));
    }

    static Epoch epoch(JsonNode body) {
        return new Epoch(number(body, "epoch"));
    }

    static Incarnation incarnation(JsonNode body) {
        return new Incarnation(number(body, "incarnation"));
    }

    static AttemptKey key(JsonNode body) {
        return key(shard(body), body);
    }

    static List<AttemptKey> keys(JsonNode body) {
        List<AttemptKey> keys = new ArrayList<>();
        body.path("tasks").forEach(task -> keys.add(key(shard(body), task)));
        return keys;
    }

    private static AttemptKey key(ShardNumber shard, JsonNode task) {
        return new AttemptKey(
                shard, new TaskId(text(task, "task")), new AttemptNumber(number(task, "attempt")));
    }

    static StartCommand start(JsonNode body) {
        return new StartCommand(
                key(body),
                epoch(body),
                incarnation(body),
                new Resources(
                        number(body, "processors_milli"),
                        number(body, "memory_mebibytes"),
                        number(body, "accelerators")),
                number(body, "lease_until_ms"),
                number(body, "run_ms"),
                body.hasNonNull("checkpoint")
                        ? Optional.of(text(body, "checkpoint"))
                        : Optional.empty());
    }

    String code(ResultCode code) {
        return object().put("code", code.number()).toString();
    }

    String response(CommandResponse response) {
        ObjectNode node = object().put("code", response.code().number());
        response.task().ifPresent(task -> node.set("task", task(task)));
        return node.toString();
    }

    String listing(SimulatedWorker worker) {
        List<AttemptStatus> tasks = worker.tasks();
        ObjectNode node =
                object().put("worker", worker.options().worker().value())
                        .put("incarnation", worker.incarnation().value())
                        .put("clock_ms", worker.clockMs())
                        .put("rack", worker.options().rack().value());
        resources(node, worker.options().capacity());
        ArrayNode array = node.putArray("tasks");
        tasks.forEach(task -> array.add(task(task)));
        return node.toString();
    }

    String usage(List<TaskUsageSample> usages) {
        ObjectNode node = object();
        ArrayNode array = node.putArray("usage");
        for (TaskUsageSample usage : usages) {
            array.addObject()
                    .put("task", usage.task().value())
                    .put("processors_milli", usage.processorsMilli())
                    .put("memory_mebibytes", usage.memoryMebibytes())
                    .put("measured_ago_ms", usage.measuredAgoMs());
        }
        return node.toString();
    }

    String records(long clockMs, List<AttemptEvent> events) {
        ObjectNode node = object().put("clock_ms", clockMs);
        ArrayNode array = node.putArray("records");
        for (AttemptEvent event : events) {
            array.addObject()
                    .put("at_ms", event.atMs())
                    .put("event", event.event())
                    .put("task", event.key().task().value())
                    .put("attempt", event.key().attempt().value())
                    .put("progress_ms", event.progressMs())
                    .put("state", event.state().name());
        }
        return node.toString();
    }

    String faults(WorkerFaults faults) {
        return object().put("paused", faults.isPaused())
                .put("failing", faults.isFailing())
                .put("fail_after_ms", faults.failAfterMs())
                .put("slow_ms", faults.responseDelayMs())
                .put("lost_answers", faults.responsesToLose())
                .toString();
    }

    private ObjectNode object() {
        return mMapper.createObjectNode();
    }

    private ObjectNode task(AttemptStatus task) {
        ObjectNode node =
                object().put("shard", task.key().shard().value())
                        .put("task", task.key().task().value())
                        .put("attempt", task.key().attempt().value())
                        .put("state", task.state().name())
                        .put("progress_ms", task.checkpointedProgressMs());
        task.checkpoint().ifPresent(name -> node.put("checkpoint", name));
        return node;
    }

    private static void resources(ObjectNode node, Resources resources) {
        node.put("processors_milli", resources.processorsMilli())
                .put("memory_mebibytes", resources.memoryMebibytes())
                .put("accelerators", resources.accelerators());
    }
}
