package org.hickorycleat.daemon.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Describes one fault of a fleet, as drawn from a seed before the run.
 *
 * @param kind what fails
 * @param target number that selects the process or worker, modulo their count
 * @param delayMs time from the start of its round until the fault, in milliseconds
 * @param durationMs time until the fault ends, in milliseconds
 * @param variant number that selects a variant of the kind, modulo their count
 */
record FleetFault(Kind kind, int target, long delayMs, long durationMs, int variant) {
    private static final List<Kind> OVERLAPPING =
            Arrays.stream(Kind.values()).filter(kind -> kind != Kind.POWER_LOSS).toList();
    private static final int MAXIMUM_FAULTS_OF_ROUND = 4;
    private static final int MAXIMUM_DELAY_MS = 1_500;
    private static final int MINIMUM_DURATION_MS = 300;
    private static final int DURATION_RANGE_MS = 2_700;

    /** What fails. */
    enum Kind {
        KILL,
        TERMINATE,
        SUSPEND,
        RESTART_TWICE,
        STALL_STORE_PATH,
        RESET_STORE_PATH,
        DROP_RESPONSES_OF_ALL,
        SLOW_STORE_PATH,
        /** The open connections of a process to the store go silent for good; new ones work. */
        SILENCE_STORE_CONNECTIONS,
        /** The same for all processes; a change of the configuration follows. */
        SILENCE_STORE_CONNECTIONS_OF_ALL,
        RESTART_WORKER,
        CHANGE_CONFIGURATION,
        /** All processes and workers end at once and start again. */
        POWER_LOSS
    }

    /**
     * Draws rounds of faults that overlap within a round. Some rounds end with a power loss, the
     * last one always does, after which the named owner cannot read the store.
     */
    static List<List<FleetFault>> drawRounds(Random random, int count) {
        List<List<FleetFault>> rounds = new ArrayList<>();
        for (int drawn = 0; drawn < count; ) {
            int faults = Math.min(count - drawn, 1 + random.nextInt(MAXIMUM_FAULTS_OF_ROUND));
            List<FleetFault> round = new ArrayList<>();
            for (int i = 0; i < faults; i++) {
                Kind kind = OVERLAPPING.get(random.nextInt(OVERLAPPING.size()));
                round.add(draw(kind, random));
            }
            drawn += faults;
            if (drawn == count) {
                round.add(drawOwnerWithoutStore(random));
            } else if (random.nextInt(MAXIMUM_FAULTS_OF_ROUND) == 0) {
                round.add(draw(Kind.POWER_LOSS, random));
            }
            rounds.add(round);
        }
        return rounds;
    }

    // The first variant stalls the path of the named owner, which cannot read through a peer
    // either.
    private static FleetFault drawOwnerWithoutStore(Random random) {
        FleetFault drawn = draw(Kind.POWER_LOSS, random);
        return new FleetFault(drawn.kind(), 0, drawn.delayMs(), drawn.durationMs(), 0);
    }

    private static FleetFault draw(Kind kind, Random random) {
        return new FleetFault(
                kind,
                random.nextInt(Integer.MAX_VALUE),
                random.nextInt(MAXIMUM_DELAY_MS),
                MINIMUM_DURATION_MS + random.nextInt(DURATION_RANGE_MS),
                random.nextInt(Integer.MAX_VALUE));
    }
}
