package org.hickorycleat.logic.places;

import java.util.ArrayList;
import java.util.List;
import org.hickorycleat.model.task.Resources;

/**
 * Expected free resources of one worker over time, within one placement round.
 *
 * <p>Claims of waiting tasks are served in the order in which they are made; a later claim does not
 * start before an earlier one on the same worker.
 */
public final class WorkerTimeline {
    /** Start time that no task reaches. */
    public static final long NEVER = Long.MAX_VALUE;

    private final List<End> mEnds;
    private int mNextEnd;
    private long mFromMs;
    private Room mRoomNow;
    private Room mRoom;

    /** A run or claim that frees its resources at a time. */
    private record End(long atMs, Resources resources) {}

    /** Unreserved resources; negative where the worker is overcommitted. */
    private record Room(long processorsMilli, long memoryMebibytes, long accelerators) {
        boolean fits(Resources need) {
            return need.processorsMilli() <= processorsMilli
                    && need.memoryMebibytes() <= memoryMebibytes
                    && need.accelerators() <= accelerators;
        }

        Room with(Resources freed, int sign) {
            return new Room(
                    processorsMilli + sign * freed.processorsMilli(),
                    memoryMebibytes + sign * freed.memoryMebibytes(),
                    accelerators + sign * freed.accelerators());
        }
    }

    /**
     * Creates the timeline of a worker without runs.
     *
     * @param capacity resources of the worker
     */
    public WorkerTimeline(Resources capacity, long nowMs) {
        mEnds = new ArrayList<>();
        mFromMs = nowMs;
        mRoomNow = new Room(0, 0, 0).with(capacity, 1);
        mRoom = mRoomNow;
    }

    private WorkerTimeline(WorkerTimeline other) {
        mEnds = new ArrayList<>(other.mEnds);
        mNextEnd = other.mNextEnd;
        mFromMs = other.mFromMs;
        mRoomNow = other.mRoomNow;
        mRoom = other.mRoom;
    }

    /** Returns a copy whose claims do not affect this timeline. */
    WorkerTimeline copy() {
        return new WorkerTimeline(this);
    }

    /**
     * Adds a run that is on the worker.
     *
     * @param endMs its expected end; {@link #NEVER} for a long-running one
     */
    public void addRun(Resources reservation, long endMs) {
        mRoomNow = mRoomNow.with(reservation, -1);
        mRoom = mRoom.with(reservation, -1);
        addEnd(endMs, reservation);
    }

    /** Returns whether the worker has the resources now, whoever claims them later. */
    boolean fitsNow(Resources need) {
        return mRoomNow.fits(need);
    }

    /** Returns the earliest expected start behind all claims, in milliseconds. */
    long earliestStartMs(Resources need) {
        Room room = mRoom;
        long atMs = mFromMs;
        for (int i = mNextEnd; !room.fits(need); i++) {
            if (i == mEnds.size()) {
                return NEVER;
            }
            atMs = Math.max(atMs, mEnds.get(i).atMs());
            room = room.with(mEnds.get(i).resources(), 1);
        }
        return atMs;
    }

    /** Claims resources from the given time, which must be their earliest start. */
    void claim(Resources need, long startMs, double durationMs) {
        while (!mRoom.fits(need)) {
            mRoom = mRoom.with(mEnds.get(mNextEnd).resources(), 1);
            mNextEnd++;
        }
        mFromMs = startMs;
        mRoom = mRoom.with(need, -1);
        addEnd(startMs + Math.round(durationMs), need);
    }

    private void addEnd(long atMs, Resources resources) {
        if (atMs == NEVER) {
            return;
        }
        int low = mNextEnd;
        int high = mEnds.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (mEnds.get(middle).atMs() <= atMs) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        mEnds.add(low, new End(atMs, resources));
    }
}
