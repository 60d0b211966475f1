package org.hickorycleat.logic.invocation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.result.ResultCode;

/**
 * Sessions of entries and the requests that they sent, in shards under one lock each.
 *
 * <p>Every shard keeps its own copy of the session numbers, so that the check of the session and
 * the start of a request are one step.
 */
final class RequestRecords {
    /** Whether a request may proceed. */
    enum Registration {
        /** It waits for its execution now. */
        REGISTERED,
        /** Its session is not the current one, or it was settled before. */
        FENCED,
        /** It was cancelled before it arrived. */
        CANCELLED,
        /** The execution took no more requests. */
        EXECUTION_CLOSED
    }

    /** What a cancellation found. */
    sealed interface Cancellation {
        /** It will never run; the execution is to be removed when nobody waits for it. */
        record NotRun(Optional<Execution> abandoned) implements Cancellation {}

        /** The target is working on it. */
        record Running() implements Cancellation {}

        /** It ended. */
        record Ended(Answer answer) implements Cancellation {}
    }

    private static final long SWEEP_INTERVAL_MS = 1_000;

    private final List<Shard> mShards;
    private final RetainedBytes mRetained;

    RequestRecords(int shards, RetainedBytes retained) {
        mRetained = retained;
        mShards = IntStream.range(0, shards).mapToObj(index -> new Shard()).toList();
    }

    /** Fences older sessions; returns executions that lost their last request by that. */
    List<Execution> openSession(ProcessId entry, Incarnation incarnation, SessionNumber session) {
        List<Execution> abandoned = new ArrayList<>();
        for (Shard shard : mShards) {
            abandoned.addAll(shard.openSession(entry, incarnation, session));
        }
        return abandoned;
    }

    Registration register(Waiter waiter, long nowMs) {
        return shardOf(waiter.request()).register(waiter, nowMs);
    }

    /** Records a request whose answer is known already; false when it is fenced. */
    Registration registerEnded(
            RequestId request, SessionNumber session, Answer answer, long droppedFromMs) {
        return shardOf(request).registerEnded(request, session, answer, droppedFromMs);
    }

    /** Cancels a request; a running one answers to {@code reply} from now on, if there is one. */
    Cancellation cancel(
            RequestId request, Optional<Consumer<InvokeResult>> reply, long droppedFromMs) {
        return shardOf(request).cancel(request, reply, droppedFromMs);
    }

    /** Records the answer and returns whom to tell; empty when nobody waits any more. */
    Optional<Consumer<InvokeResult>> end(Waiter waiter, Answer answer, long droppedFromMs) {
        return shardOf(waiter.request()).end(waiter.request(), answer, droppedFromMs);
    }

    void acknowledge(ProcessId entry, Incarnation incarnation, long below) {
        for (Shard shard : mShards) {
            shard.acknowledge(entry, incarnation, below);
        }
    }

    private Shard shardOf(RequestId request) {
        int hash = Long.hashCode(request.counter() * 0x9e3779b97f4a7c15L);
        return mShards.get(Math.floorMod(hash ^ request.entry().hashCode(), mShards.size()));
    }

    private final class Shard {
        private final Map<ProcessId, EntryRecords> mEntries = new HashMap<>();

        synchronized List<Execution> openSession(
                ProcessId entry, Incarnation incarnation, SessionNumber session) {
            EntryRecords records = mEntries.get(entry);
            if (records != null && records.incarnation().compareTo(incarnation) > 0) {
                return List.of();
            }
            if (records == null || !records.incarnation().equals(incarnation)) {
                List<Execution> abandoned = records == null ? List.of() : forget(records);
                EntryRecords opened = new EntryRecords(incarnation);
                opened.open(session);
                mEntries.put(entry, opened);
                return abandoned;
            }
            if (!records.isNewer(session)) {
                return List.of();
            }
            records.open(session);
            return fence(records, session);
        }

        // What an older session brought and has not started is not started any more.
        private List<Execution> fence(EntryRecords records, SessionNumber session) {
            List<Execution> abandoned = new ArrayList<>();
            for (Waiter waiter : records.waiters()) {
                if (waiter.session().compareTo(session) >= 0) {
                    continue;
                }
                Execution.Departure departure = waiter.execution().depart(waiter.request());
                if (departure instanceof Execution.Departure.NotStarted notStarted) {
                    long droppedFromMs = waiter.deadlineMs() + InvocationService.RETENTION_MS;
                    records.put(
                            waiter.request().counter(), new RequestRecord.Cancelled(droppedFromMs));
                    if (notStarted.abandoned()) {
                        abandoned.add(waiter.execution());
                    }
                }
            }
            return abandoned;
        }

        // No one asks for requests of an older incarnation any more.
        private List<Execution> forget(EntryRecords records) {
            mRetained.subtract(records.bytes());
            List<Execution> abandoned = new ArrayList<>();
            for (Waiter waiter : records.waiters()) {
                Execution.Departure departure = waiter.execution().depart(waiter.request());
                if (departure instanceof Execution.Departure.NotStarted notStarted
                        && notStarted.abandoned()) {
                    abandoned.add(waiter.execution());
                }
            }
            return abandoned;
        }

        synchronized Registration register(Waiter waiter, long nowMs) {
            RequestId request = waiter.request();
            Optional<EntryRecords> current = current(request, waiter.session());
            if (current.isEmpty()) {
                return Registration.FENCED;
            }
            EntryRecords records = current.get();
            mRetained.subtract(records.acknowledge(waiter.invoke().acknowledgedBelow()));
            mRetained.subtract(records.sweep(nowMs, SWEEP_INTERVAL_MS));
            Optional<Registration> known = known(records, request);
            if (known.isPresent()) {
                return known.get();
            }
            if (!waiter.execution().join(waiter)) {
                return Registration.EXECUTION_CLOSED;
            }
            records.put(request.counter(), new RequestRecord.Waiting(waiter));
            return Registration.REGISTERED;
        }

        synchronized Registration registerEnded(
                RequestId request, SessionNumber session, Answer answer, long droppedFromMs) {
            Optional<EntryRecords> current = current(request, session);
            if (current.isEmpty()) {
                return Registration.FENCED;
            }
            Optional<Registration> known = known(current.get(), request);
            if (known.isPresent()) {
                return known.get();
            }
            putEnded(current.get(), request, answer, droppedFromMs);
            return Registration.REGISTERED;
        }

        private Optional<EntryRecords> current(RequestId request, SessionNumber session) {
            return Optional.ofNullable(mEntries.get(request.entry()))
                    .filter(records -> records.incarnation().equals(request.incarnation()))
                    .filter(records -> records.isCurrent(session));
        }

        private Optional<Registration> known(EntryRecords records, RequestId request) {
            Optional<RequestRecord> record = records.find(request.counter());
            if (record.isPresent() && record.get() instanceof RequestRecord.Cancelled) {
                return Optional.of(Registration.CANCELLED);
            }
            boolean settled = record.isPresent() || records.acknowledged(request.counter());
            return settled ? Optional.of(Registration.FENCED) : Optional.empty();
        }

        synchronized Cancellation cancel(
                RequestId request, Optional<Consumer<InvokeResult>> reply, long droppedFromMs) {
            EntryRecords records =
                    mEntries.computeIfAbsent(
                            request.entry(), entry -> new EntryRecords(request.incarnation()));
            if (!records.incarnation().equals(request.incarnation())
                    || records.acknowledged(request.counter())) {
                // The entry has settled the request itself, and its record may be gone.
                return new Cancellation.Ended(Answer.of(ResultCode.OUTCOME_UNKNOWN));
            }
            Optional<RequestRecord> record = records.find(request.counter());
            if (record.isEmpty()) {
                records.put(request.counter(), new RequestRecord.Cancelled(droppedFromMs));
                return new Cancellation.NotRun(Optional.empty());
            }
            if (record.get() instanceof RequestRecord.Ended ended) {
                return new Cancellation.Ended(ended.answer());
            }
            if (record.get() instanceof RequestRecord.Waiting waiting) {
                return cancelWaiting(records, waiting.waiter(), reply, droppedFromMs);
            }
            return new Cancellation.NotRun(Optional.empty());
        }

        private Cancellation cancelWaiting(
                EntryRecords records,
                Waiter waiter,
                Optional<Consumer<InvokeResult>> reply,
                long droppedFromMs) {
            long counter = waiter.request().counter();
            Execution.Departure departure = waiter.execution().depart(waiter.request());
            if (departure instanceof Execution.Departure.NotStarted notStarted) {
                records.put(counter, new RequestRecord.Cancelled(droppedFromMs));
                return new Cancellation.NotRun(
                        notStarted.abandoned()
                                ? Optional.of(waiter.execution())
                                : Optional.empty());
            }
            if (departure instanceof Execution.Departure.Ended ended) {
                return new Cancellation.Ended(ended.answer());
            }
            reply.ifPresent(
                    other ->
                            records.put(
                                    counter, new RequestRecord.Waiting(waiter.withReply(other))));
            return new Cancellation.Running();
        }

        synchronized Optional<Consumer<InvokeResult>> end(
                RequestId request, Answer answer, long droppedFromMs) {
            EntryRecords records = mEntries.get(request.entry());
            if (records == null || !records.incarnation().equals(request.incarnation())) {
                return Optional.empty();
            }
            Optional<RequestRecord> record = records.find(request.counter());
            if (record.isPresent() && record.get() instanceof RequestRecord.Waiting waiting) {
                if (records.acknowledged(request.counter())) {
                    records.remove(request.counter());
                } else {
                    putEnded(records, request, answer, droppedFromMs);
                }
                return Optional.of(waiting.waiter().reply());
            }
            return Optional.empty();
        }

        private void putEnded(
                EntryRecords records, RequestId request, Answer answer, long droppedFromMs) {
            Answer kept =
                    mRetained.hasRoomFor(answer.bytes())
                            ? answer
                            : Answer.of(withoutBody(answer.code()));
            mRetained.add(kept.bytes());
            records.put(request.counter(), new RequestRecord.Ended(kept, droppedFromMs));
        }

        // An answer without its body must not pass for the whole answer.
        private static ResultCode withoutBody(ResultCode code) {
            return code == ResultCode.OK ? ResultCode.OUTCOME_UNKNOWN : code;
        }

        synchronized void acknowledge(ProcessId entry, Incarnation incarnation, long below) {
            EntryRecords records = mEntries.get(entry);
            if (records != null && records.incarnation().equals(incarnation)) {
                mRetained.subtract(records.acknowledge(below));
            }
        }
    }
}
