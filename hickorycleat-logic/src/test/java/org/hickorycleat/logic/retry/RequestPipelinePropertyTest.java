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

/** Runs coordinators and invocation services together against the oracle. */
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
     * Guards against a request or key that runs twice, a caller that is told not-run of a request
     * that ran, an answer that reaches another caller, and room that is never freed.
     */
    @Property(tries = 2_000, seed = "20261204")
    void everyCallerIsToldTheTruth(@ForAll("scenarios") List<Step> steps, @ForAll long randomness) {
        RequestPipelineSimulation simulation = new RequestPipelineSimulation(randomness);
        steps.forEach(step -> step.action().accept(simulation));
        for (RequestOracle.CallRecord call : simulation.finish().calls()) {
            call.mResults.forEach(result -> Statistics.collect(result.code()));
        }
        // A simulation in which some result never occurs would not test the path to it.
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
                                .map(ms -> Step.of(s -> s.advance(ms), "advance", ms))),
                Tuple.of(
                        6,
                        Combinators.combine(entry, Arbitraries.of(true, false), deadline)
                                .as(
                                        (e, idempotent, d) ->
                                                Step.of(
                                                        s -> s.submit(e, idempotent, d),
                                                        "submit",
                                                        e,
                                                        idempotent,
                                                        d))),
                Tuple.of(
                        6,
                        Combinators.combine(entry, small, rarely, deadline)
                                .as(
                                        (e, slot, other, d) ->
                                                Step.of(
                                                        s -> s.submitKeyed(e, slot, other, d),
                                                        "keyed",
                                                        e,
                                                        slot,
                                                        other,
                                                        d))),
                Tuple.of(
                        1,
                        Combinators.combine(entry, Arbitraries.integers().between(6, 24))
                                .as((e, n) -> Step.of(s -> s.burst(e, n), "burst", e, n))),
                Tuple.of(
                        2,
                        Combinators.combine(entry, small)
                                .as((e, b) -> Step.of(s -> s.dispose(e, b), "dispose", e, b))),
                Tuple.of(
                        3,
                        Combinators.combine(entry, agent)
                                .as(
                                        (e, a) ->
                                                Step.of(
                                                        s -> s.disconnect(e, a),
                                                        "disconnect",
                                                        e,
                                                        a))),
                Tuple.of(
                        4,
                        Combinators.combine(entry, agent)
                                .as((e, a) -> Step.of(s -> s.connect(e, a), "connect", e, a))),
                Tuple.of(1, agent.map(a -> Step.of(s -> s.restartAgent(a), "restart agent", a))),
                Tuple.of(1, entry.map(e -> Step.of(s -> s.restartEntry(e), "restart entry", e))),
                Tuple.of(1, agent.map(a -> Step.of(s -> s.leave(a), "leave", a))),
                Tuple.of(
                        1,
                        Arbitraries.integers()
                                .between(2, 3)
                                .map(n -> Step.of(s -> s.changeMapping(n), "mapping", n))));
    }
}
