package org.hickorycleat.logic.retry;

import java.util.List;
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
class RequestPathPropertyTest {
    /** One step of a scenario. */
    sealed interface Step {
        void run(RequestPathSimulation simulation);

        record Advance(int ms) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.advance(ms);
            }
        }

        record Submit(int entry, boolean idempotent, int deadlineMs) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.submit(entry, idempotent, deadlineMs);
            }
        }

        record Burst(int entry, int size) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                for (int index = 0; index < size; index++) {
                    simulation.submit(entry, index % 2 == 0, 400);
                }
            }
        }

        record SubmitKeyed(int entry, int slot, boolean other, int deadlineMs) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.submitKeyed(entry, slot, other, deadlineMs);
            }
        }

        record Dispose(int entry, int back) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.dispose(entry, back);
            }
        }

        record Disconnect(int entry, int agent) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.disconnect(entry, agent);
            }
        }

        record Connect(int entry, int agent) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.connect(entry, agent);
            }
        }

        record RestartAgent(int agent) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.restartAgent(agent);
            }
        }

        record RestartEntry(int entry) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.restartEntry(entry);
            }
        }

        record Leave(int agent) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.leave(agent);
            }
        }

        record ChangeMapping(int instances) implements Step {
            @Override
            public void run(RequestPathSimulation simulation) {
                simulation.changeMapping(instances);
            }
        }
    }

    /**
     * Guards against a request or key that runs twice, a caller that is told not-run of a request
     * that ran, an answer that reaches another caller, and room that is never freed.
     */
    @Property(tries = 3_000, seed = "20261204")
    void everyCallerIsToldTheTruth(@ForAll("scenarios") List<Step> steps, @ForAll long randomness) {
        RequestPathSimulation simulation = new RequestPathSimulation(randomness);
        steps.forEach(step -> step.run(simulation));
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
                Arbitraries.integers().between(0, RequestPathSimulation.ENTRIES - 1);
        Arbitrary<Integer> agent =
                Arbitraries.integers().between(0, RequestPathSimulation.AGENTS - 1);
        Arbitrary<Integer> deadline = Arbitraries.of(50, 200, 1_000, 3_000);
        return Arbitraries.frequencyOf(
                Tuple.of(6, Arbitraries.of(1, 20, 100, 400, 1_500).map(Step.Advance::new)),
                Tuple.of(
                        6,
                        Combinators.combine(entry, Arbitraries.of(true, false), deadline)
                                .as(Step.Submit::new)),
                Tuple.of(
                        6,
                        Combinators.combine(
                                        entry,
                                        Arbitraries.integers().between(0, 2),
                                        Arbitraries.of(true, false, false, false, false),
                                        deadline)
                                .as(Step.SubmitKeyed::new)),
                Tuple.of(
                        2,
                        Combinators.combine(entry, Arbitraries.integers().between(0, 2))
                                .as(Step.Dispose::new)),
                Tuple.of(3, Combinators.combine(entry, agent).as(Step.Disconnect::new)),
                Tuple.of(4, Combinators.combine(entry, agent).as(Step.Connect::new)),
                Tuple.of(
                        1,
                        Combinators.combine(entry, Arbitraries.integers().between(6, 24))
                                .as(Step.Burst::new)),
                Tuple.of(1, agent.map(Step.RestartAgent::new)),
                Tuple.of(1, entry.map(Step.RestartEntry::new)),
                Tuple.of(1, agent.map(Step.Leave::new)),
                Tuple.of(1, Arbitraries.integers().between(2, 3).map(Step.ChangeMapping::new)));
    }
}
