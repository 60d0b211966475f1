package org.hickorycleat.logic.supervision;

import java.util.ArrayList;
import java.util.List;
import org.hickorycleat.model.job.EndedRun;
import org.hickorycleat.model.job.RunSample;

/**
 * Selects the checkpoints and ends that a report carries, so that its size has a bound whatever the
 * number of runs and the length of their checkpoints.
 *
 * <p>A report names every run. Those whose checkpoints do not fit take turns from report to report;
 * the owner keeps the checkpoint that it received last. Ends that do not fit are reported once
 * earlier ones are acknowledged. A checkpoint that fits into no report is left out.
 */
final class ReportSelection {
    /**
     * Maximum length of the checkpoints of the running and of the ended runs in a report, in
     * characters each; in UTF-8, both together take at most three quarters of a message.
     */
    static final int MAXIMUM_CHARACTERS = 128 << 10;

    private int mFirst;

    /** Returns the runs, some of them without their checkpoint if the others fill the report. */
    List<RunSample> selectRunning(List<RunSample> running) {
        if (fits(running)) {
            return running;
        }
        List<RunSample> selected = new ArrayList<>(running);
        int first = mFirst % running.size();
        int characters = 0;
        boolean full = false;
        for (int i = 0; i < running.size(); i++) {
            int position = (first + i) % running.size();
            RunSample sample = running.get(position);
            int length = sample.checkpoint().length();
            boolean oversized = length > MAXIMUM_CHARACTERS;
            if (!full && !oversized && characters + length > MAXIMUM_CHARACTERS) {
                full = true;
                mFirst = position;
            }
            if (full || oversized) {
                selected.set(position, withoutCheckpoint(sample));
            } else {
                characters += length;
            }
        }
        return selected;
    }

    private static boolean fits(List<RunSample> running) {
        long characters = 0;
        for (RunSample sample : running) {
            characters += sample.checkpoint().length();
        }
        return characters <= MAXIMUM_CHARACTERS;
    }

    private static RunSample withoutCheckpoint(RunSample sample) {
        return new RunSample(sample.run(), "", sample.progressPercent(), sample.measurement());
    }

    /** Returns the first ends, as many as fit into a report. */
    static List<EndedRun> selectEnded(List<EndedRun> ended) {
        List<EndedRun> selected = new ArrayList<>();
        int characters = 0;
        for (EndedRun end : ended) {
            boolean oversized = end.checkpoint().length() > MAXIMUM_CHARACTERS;
            EndedRun reported = oversized ? withoutCheckpoint(end) : end;
            characters += reported.checkpoint().length();
            if (characters > MAXIMUM_CHARACTERS) {
                break;
            }
            selected.add(reported);
        }
        return selected;
    }

    private static EndedRun withoutCheckpoint(EndedRun end) {
        return new EndedRun(end.number(), end.run(), end.cause(), "");
    }
}
