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
 * Attempts without a response, in shards with one lock each.
 *
 * <p>Every shard has its own copy of the open connections. Thus an attempt is either registered
 * before a connection changes, and the change finds it, or it is registered on the new connection.
 */
final class OutstandingRequests {
    /** Attempts at an agent that are affected by a new connection to it. */
    record AffectedAttempts(List<Attempt> unresolved, List<Attempt> lost) {}

    private final ProcessId mEntry;
    private final Incarnation mIncarnation;
    private final List<Shard> mShards;
    private final AtomicInteger mNextShard = new AtomicInteger();

    OutstandingRequests(ProcessId entry, Incarnation incarnation, int shards) {
        mEntry = entry;
        mIncarnation = incarnation;
        mShards = IntStream.range(0, shards).mapToObj(index -> new Shard(index, shards)).toList();
    }

    /**
     * Allocates a request id and registers an attempt; empty if there is no connection to the agent
     * or the owner rejects the attempt.
     */
    Optional<Attempt> register(AttemptOwner owner, TargetReservation reservation, long nowMicros) {
        // Round-robin keeps the counters of all shards close together, so that the acknowledged
        // counter, which is their minimum, advances.
        int shard = Math.floorMod(mNextShard.getAndIncrement(), mShards.size());
        return mShards.get(shard).register(owner, reservation, nowMicros);
    }

    /** Removes an attempt; returns false if another thread has removed it. */
    boolean remove(Attempt attempt) {
        return shardOf(attempt.request()).remove(attempt.request());
    }

    boolean contains(Attempt attempt) {
        return shardOf(attempt.request()).contains(attempt.request());
    }

    /** Removes the attempt to which a response on a connection belongs. */
    Optional<Attempt> removeForResponse(RequestId request, LinkSession session) {
        return isFromThisEntry(request)
                ? shardOf(request).removeForResponse(request, session)
                : Optional.empty();
    }

    /** Returns whether an attempt waits for its response on a connection. */
    boolean isExpected(RequestId request, LinkSession session) {
        return isFromThisEntry(request) && shardOf(request).isExpected(request, session);
    }

    /** Makes a connection the current one of its agent and returns the affected attempts. */
    AffectedAttempts open(LinkSession session) {
        AffectedAttempts affected = new AffectedAttempts(new ArrayList<>(), new ArrayList<>());
        for (Shard shard : mShards) {
            shard.open(session, affected);
        }
        return affected;
    }

    /** Closes a connection and returns the outstanding attempts on it. */
    List<Attempt> close(LinkSession session) {
        return mShards.stream().flatMap(shard -> shard.close(session).stream()).toList();
    }

    /** Returns the counter below which no request of this entry is outstanding. */
    long acknowledgedBelow() {
        return mShards.stream().mapToLong(shard -> shard.mLowestOutstanding).min().orElse(0);
    }

    int size() {
        return mShards.stream().mapToInt(Shard::size).sum();
    }

    private boolean isFromThisEntry(RequestId request) {
        return request.entry().equals(mEntry)
                && request.incarnation().equals(mIncarnation)
                && request.counter() >= 0;
    }

    private Shard shardOf(RequestId request) {
        return mShards.get((int) (request.counter() % mShards.size()));
    }

    private final class Shard {
        private final Map<ProcessId, LinkSession> mOpenSessions = new HashMap<>();
        private final Map<ProcessId, LinkSession> mNewestSessions = new HashMap<>();
        private final TreeMap<Long, Attempt> mAttempts = new TreeMap<>();
        private final int mCounterStep;
        private long mNextCounter;
        private volatile long mLowestOutstanding;

        // Counter 0 is never allocated: it marks requests that were not sent.
        Shard(int index, int counterStep) {
            mCounterStep = counterStep;
            mNextCounter = (long) counterStep + index;
            mLowestOutstanding = mNextCounter;
        }

        synchronized Optional<Attempt> register(
                AttemptOwner owner, TargetReservation reservation, long nowMicros) {
            LinkSession session = mOpenSessions.get(reservation.target().agent());
            if (session == null) {
                return Optional.empty();
            }
            RequestId request = new RequestId(mEntry, mIncarnation, mNextCounter);
            Attempt attempt = new Attempt(request, owner, reservation, session, nowMicros);
            if (!owner.makeCurrent(attempt)) {
                return Optional.empty();
            }
            mAttempts.put(mNextCounter, attempt);
            mNextCounter += mCounterStep;
            updateLowestOutstanding();
            return Optional.of(attempt);
        }

        synchronized boolean contains(RequestId request) {
            return mAttempts.containsKey(request.counter());
        }

        synchronized boolean remove(RequestId request) {
            boolean removed = mAttempts.remove(request.counter()) != null;
            updateLowestOutstanding();
            return removed;
        }

        synchronized Optional<Attempt> removeForResponse(RequestId request, LinkSession session) {
            if (!isExpected(request, session)) {
                return Optional.empty();
            }
            Optional<Attempt> attempt = Optional.ofNullable(mAttempts.remove(request.counter()));
            updateLowestOutstanding();
            return attempt;
        }

        synchronized boolean isExpected(RequestId request, LinkSession session) {
            Attempt attempt = mAttempts.get(request.counter());
            return attempt != null && attempt.session().equals(session);
        }

        synchronized void open(LinkSession session, AffectedAttempts affected) {
            LinkSession newest = mNewestSessions.get(session.agent());
            if (newest != null && !session.isNewerThan(newest)) {
                return;
            }
            mNewestSessions.put(session.agent(), session);
            mOpenSessions.put(session.agent(), session);
            for (Attempt attempt : attemptsAt(session.agent())) {
                if (attempt.session().incarnation().equals(session.incarnation())) {
                    attempt.moveTo(session);
                    affected.unresolved().add(attempt);
                } else {
                    mAttempts.remove(attempt.request().counter());
                    affected.lost().add(attempt);
                }
            }
            updateLowestOutstanding();
        }

        synchronized List<Attempt> close(LinkSession session) {
            mOpenSessions.remove(session.agent(), session);
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

        private void updateLowestOutstanding() {
            mLowestOutstanding = mAttempts.isEmpty() ? mNextCounter : mAttempts.firstKey();
        }
    }
}
