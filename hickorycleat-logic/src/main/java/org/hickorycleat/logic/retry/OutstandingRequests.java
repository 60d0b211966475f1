package org.hickorycleat.logic.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.hickorycleat.logic.routing.TargetReservation;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RequestId;

/**
 * Attempts without an answer, in shards under one lock each.
 *
 * <p>Every shard has its own copy of the open connections, so that an attempt is either registered
 * before a change of a connection and found by it, or registered on the new connection.
 */
final class OutstandingRequests {
    /** Attempts that a new connection to an agent concerns. */
    record Reopened(List<Attempt> unresolved, List<Attempt> lost) {}

    private final ProcessId mEntry;
    private final Incarnation mIncarnation;
    private final List<Shard> mShards;
    private final AtomicInteger mTurn = new AtomicInteger();

    OutstandingRequests(ProcessId entry, Incarnation incarnation, int shards) {
        mEntry = entry;
        mIncarnation = incarnation;
        mShards = IntStream.range(0, shards).mapToObj(index -> new Shard(index, shards)).toList();
    }

    /**
     * Allocates an id and registers an attempt; empty when there is no connection to the agent or
     * the owner does not want it any more.
     */
    Optional<Attempt> register(AttemptOwner owner, TargetReservation reservation, long nowMicros) {
        // Taking turns keeps the counters of all shards close together, and with them the counter
        // below which everything is acknowledged.
        int turn = Math.floorMod(mTurn.getAndIncrement(), mShards.size());
        return mShards.get(turn).register(owner, reservation, nowMicros);
    }

    /** Removes an attempt; false when someone else has settled it. */
    boolean remove(Attempt attempt) {
        return shardOf(attempt.request()).remove(attempt.request());
    }

    boolean contains(Attempt attempt) {
        return shardOf(attempt.request()).contains(attempt.request());
    }

    /** Removes the attempt that an answer on a connection settles. */
    Optional<Attempt> removeAnswered(RequestId request, LinkSession session) {
        return isOurs(request)
                ? shardOf(request).removeAnswered(request, session)
                : Optional.empty();
    }

    /** Tells whether an attempt waits for its answer on a connection. */
    boolean isExpected(RequestId request, LinkSession session) {
        return isOurs(request) && shardOf(request).isExpected(request, session);
    }

    /** Makes a connection the current one of its agent. */
    Reopened open(LinkSession session) {
        Reopened reopened = new Reopened(new ArrayList<>(), new ArrayList<>());
        for (Shard shard : mShards) {
            shard.open(session, reopened);
        }
        return reopened;
    }

    /** Closes a connection and returns the attempts that were made on it. */
    List<Attempt> close(LinkSession session) {
        return mShards.stream().flatMap(shard -> shard.close(session).stream()).toList();
    }

    /** Returns the counter below which every request of this entry is settled. */
    long acknowledgedBelow() {
        return mShards.stream().mapToLong(shard -> shard.mLowest).min().orElse(0);
    }

    int size() {
        return mShards.stream().mapToInt(Shard::size).sum();
    }

    private boolean isOurs(RequestId request) {
        return request.entry().equals(mEntry)
                && request.incarnation().equals(mIncarnation)
                && request.counter() >= 0;
    }

    private Shard shardOf(RequestId request) {
        return mShards.get((int) (request.counter() % mShards.size()));
    }

    private final class Shard {
        private final Map<ProcessId, LinkSession> mOpen = new HashMap<>();
        private final Map<ProcessId, LinkSession> mNewest = new HashMap<>();
        private final TreeMap<Long, Attempt> mAttempts = new TreeMap<>();
        private final int mStep;
        private long mNext;
        private volatile long mLowest;

        // Counter 0 is never allocated: it stands for requests that were never sent.
        Shard(int index, int step) {
            mStep = step;
            mNext = (long) step + index;
            mLowest = mNext;
        }

        synchronized Optional<Attempt> register(
                AttemptOwner owner, TargetReservation reservation, long nowMicros) {
            LinkSession session = mOpen.get(reservation.target().agent());
            if (session == null) {
                return Optional.empty();
            }
            RequestId request = new RequestId(mEntry, mIncarnation, mNext);
            Attempt attempt = new Attempt(request, owner, reservation, session, nowMicros);
            if (!owner.install(attempt)) {
                return Optional.empty();
            }
            mAttempts.put(mNext, attempt);
            mNext += mStep;
            updateLowest();
            return Optional.of(attempt);
        }

        synchronized boolean contains(RequestId request) {
            return mAttempts.containsKey(request.counter());
        }

        synchronized boolean remove(RequestId request) {
            boolean removed = mAttempts.remove(request.counter()) != null;
            updateLowest();
            return removed;
        }

        synchronized Optional<Attempt> removeAnswered(RequestId request, LinkSession session) {
            if (!isExpected(request, session)) {
                return Optional.empty();
            }
            Optional<Attempt> attempt = Optional.ofNullable(mAttempts.remove(request.counter()));
            updateLowest();
            return attempt;
        }

        synchronized boolean isExpected(RequestId request, LinkSession session) {
            Attempt attempt = mAttempts.get(request.counter());
            return attempt != null && attempt.session().equals(session);
        }

        synchronized void open(LinkSession session, Reopened reopened) {
            LinkSession newest = mNewest.get(session.agent());
            if (newest != null && !session.isNewerThan(newest)) {
                return;
            }
            mNewest.put(session.agent(), session);
            mOpen.put(session.agent(), session);
            for (Attempt attempt : attemptsAt(session.agent())) {
                if (attempt.session().incarnation().equals(session.incarnation())) {
                    attempt.expectOn(session);
                    reopened.unresolved().add(attempt);
                } else {
                    mAttempts.remove(attempt.request().counter());
                    reopened.lost().add(attempt);
                }
            }
            updateLowest();
        }

        synchronized List<Attempt> close(LinkSession session) {
            mOpen.remove(session.agent(), session);
            List<Attempt> attempts =
                    attemptsAt(session.agent()).stream()
                            .filter(attempt -> attempt.session().equals(session))
                            .toList();
            attempts.forEach(Attempt::markUnresolved);
            return attempts;
        }

        synchronized int size() {
            return mAttempts.size();
        }

        private List<Attempt> attemptsAt(ProcessId agent) {
            return mAttempts.values().stream()
                    .filter(attempt -> attempt.agent().equals(agent))
                    .toList();
        }

        private void updateLowest() {
            mLowest = mAttempts.isEmpty() ? mNext : mAttempts.firstKey();
        }
    }
}
