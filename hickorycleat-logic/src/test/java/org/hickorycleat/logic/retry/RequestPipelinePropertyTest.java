package org.hickorycleat.logic.retry;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;
import org.hickorycleat.model.result.ResultCode;

/** Runs coordinators and invocation services together and checks them with the oracle. */
class RequestPipelinePropertyTest {
    /** One step of a scenario. */
    private record Step(String description, Consumer<RequestPipelineSimulation> action) {
        static Step of(
                Consumer<RequestPipelineSimulation> action, String name, Object... arguments) {
            return new Step(name + Arrays.toString(arguments), action);
        }

        @Override
        public String toString() {
            return description;
        }
    }

    /**
     * Guards against a request or key that runs twice, a request that ran and is reported as not
     * run, a response that is returned to another caller, and reservations or permits that are
     * never released.
     */
    @Property(tries = 2_000, seed = "20261204")
    void everyResultMatchesWhatWasExecuted(
            @ForAll("scenarios") List<Step> steps, @ForAll long randomness) {
        RequestPipelineSimulation simulation = new RequestPipelineSimulation(randomness);
        steps.forEach(step -> step.action().accept(simulation));
        for (RequestOracle.CallRecord call : simulation.finish().calls()) {
            call.mResults.forEach(result -> Statistics.collect(result.code()));
        }
        // A result code that never occurs would leave its code path untested.
        Statistics.coverage(
                coverage -> {
                    for (ResultCode code : EXPECTED) {
                        coverage.check(code).count(count -> count > 0);
                    }
                });
    }

    private static final List<ResultCode> EXPECTED =
            List.of(
                    ResultCode.OK,
                    ResultCode.OVERLOADED,
                    ResultCode.NO_TARGET,
                    ResultCode.DEADLINE_EXCEEDED,
                    ResultCode.TARGET_LEAVING,
                    ResultCode.AGENT_QUEUE_FULL,
                    ResultCode.KEY_MEMORY_UNCERTAIN,
                    ResultCode.MAPPING_CHANGED,
                    ResultCode.IDEMPOTENCY_KEY_REUSED,
                    ResultCode.TARGET_FAILED,
                    ResultCode.TARGET_TIMEOUT,
                    ResultCode.AGENT_LOST,
                    ResultCode.OUTCOME_UNKNOWN);

    @Provide
    Arbitrary<List<Step>> scenarios() {
        return step().list().ofMinSize(1).ofMaxSize(60);
    }

    private static Arbitrary<Step> step() {
        Arbitrary<Integer> entry =
                Arbitraries.integers().between(0, RequestPipelineSimulation.ENTRIES - 1);
        Arbitrary<Integer> agent =
                Arbitraries.integers().between(0, RequestPipelineSimulation.AGENTS - 1);
        Arbitrary<Integer> deadline = Arbitraries.of(50, 200, 1_000, 3_000);
        Arbitrary<Integer> small = Arbitraries.integers().between(0, 2);
        Arbitrary<Boolean> rarely = Arbitraries.of(true, false, false, false, false);
        return Arbitraries.frequencyOf(
                Tuple.of(
                        6,
                        Arbitraries.of(1, 20, 100, 400, 1_500)
                                .map(
                                        ms ->
                                                Step.of(
                                                        simulation -> simulation.advance(ms),
                                                        "advance",
                                                        ms))),
                Tuple.of(
                        6,
                        Combinators.combine(entry, Arbitraries.of(true, false), deadline)
                                .as(
                                        (entryIndex, idempotent, deadlineMs) ->
                                                Step.of(
                                                        simulation ->
                                                                simulation.submit(
                                                                        entryIndex,
                                                                        idempotent,
                                                                        deadlineMs),
                                                        "submit",
                                                        entryIndex,
                                                        idempotent,
                                                        deadlineMs))),
                Tuple.of(
                        6,
                        Combinators.combine(entry, small, rarely, deadline)
                                .as(
                                        (entryIndex, keyIndex, differentContent, deadlineMs) ->
                                                Step.of(
                                                        simulation ->
                                                                simulation.submitKeyed(
                                                                        entryIndex,
                                                                        keyIndex,
                                                                        differentContent,
                                                                        deadlineMs),
                                                        "keyed",
                                                        entryIndex,
                                                        keyIndex,
                                                        differentContent,
                                                        deadlineMs))),
                Tuple.of(
                        1,
                        Combinators.combine(entry, Arbitraries.integers().between(6, 24))
                                .as(
                                        (entryIndex, size) ->
                                                Step.of(
                                                        simulation ->
                                                                simulation.burst(entryIndex, size),
                                                        "burst",
                                                        entryIndex,
                                                        size))),
                Tuple.of(
                        2,
                        Combinators.combine(entry, small)
                                .as(
                                        (entryIndex, callsBack) ->
                                                Step.of(
                                                        simulation ->
                                                                simulation.dispose(
                                                                        entryIndex, callsBack),
                                                        "dispose",
                                                        entryIndex,
                                                        callsBack))),
                Tuple.of(
                        3,
                        Combinators.combine(entry, agent)
                                .as(
                                        (entryIndex, agentIndex) ->
                                                Step.of(
                                                        simulation ->
                                                                simulation.disconnect(
                                                                        entryIndex, agentIndex),
                                                        "disconnect",
                                                        entryIndex,
                                                        agentIndex))),
                Tuple.of(
                        4,
                        Combinators.combine(entry, agent)
                                .as(
                                        (entryIndex, agentIndex) ->
                                                Step.of(
                                                        simulation ->
                                                                simulation.connect(
                                                                        entryIndex, agentIndex),
                                                        "connect",
                                                        entryIndex,
                                                        agentIndex))),
                Tuple.of(
                        1,
                        agent.map(
                                agentIndex ->
                                        Step.of(
                                                simulation -> simulation.restartAgent(agentIndex),
                                                "restart agent",
                                                agentIndex))),
                Tuple.of(
                        1,
                        entry.map(
                                entryIndex ->
                                        Step.of(
                                                simulation -> simulation.restartEntry(entryIndex),
                                                "restart entry",
                                                entryIndex))),
                Tuple.of(
                        1,
                        agent.map(
                                agentIndex ->
                                        Step.of(
                                                simulation -> simulation.startDrain(agentIndex),
                                                "leave",
                                                agentIndex))),
                Tuple.of(
                        1,
                        Arbitraries.integers()
                                .between(2, 3)
                                .map(
                                        instances ->
                                                Step.of(
                                                        simulation ->
                                                                simulation.changeMapping(instances),
                                                        "mapping",
                                                        instances))));
    }
}
