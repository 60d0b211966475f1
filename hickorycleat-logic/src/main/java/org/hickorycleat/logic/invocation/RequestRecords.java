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
 * Sessions of entries and records of their requests, in shards with one lock each.
 *
 * <p>Every shard keeps its own copy of the session numbers, so that checking the session and
 * registering a request are atomic.
 */
final class RequestRecords {
    /** Result of the registration of a request. */
    enum Registration {
        /** The request now waits for its execution. */
        REGISTERED,
        /**
         * The session is not the current one, or the request was registered or acknowledged before.
         */
        FENCED,
        /** The request was cancelled before it arrived. */
        CANCELLED,
        /** The execution accepted no further requests. */
        EXECUTION_CLOSED
    }

    /** Result of a cancellation. */
    sealed interface Cancellation {
        /**
         * The request will never run; contains the execution to discard if no request waits for it.
         */
        record NotRun(Optional<Execution> abandoned) implements Cancellation {}

        /** The target is processing the request. */
        record Running() implements Cancellation {}

        /** The request has ended. */
        record Ended(ExecutionResponse response) implements Cancellation {}
    }

    private static final long EXPIRY_INTERVAL_MS = 1_000;

    private final List<Shard> mShards;
    private final RetainedBytes mRetained;

    RequestRecords(int shards, RetainedBytes retained) {
        mRetained = retained;
        mShards = IntStream.range(0, shards).mapToObj(index -> new Shard()).toList();
    }

    /** Fences older sessions; returns the executions that lost their last request. */
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

    /** Records a request whose response is already known, unless it is fenced or cancelled. */
    Registration registerEnded(
            RequestId request, SessionNumber session, ExecutionResponse response, long expiryMs) {
        return shardOf(request).registerEnded(request, session, response, expiryMs);
    }

    /** Cancels a request; the response of a running one goes to {@code reply}, if present. */
    Cancellation cancel(RequestId request, Optional<Consumer<InvokeResult>> reply, long expiryMs) {
        return shardOf(request).cancel(request, reply, expiryMs);
    }

    /**
     * Records the response and returns the receiver of the reply; empty if no request waits any
     * more.
     */
    Optional<Consumer<InvokeResult>> end(Waiter waiter, ExecutionResponse response, long expiryMs) {
        return shardOf(waiter.request()).end(waiter.request(), response, expiryMs);
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
                List<Execution> abandoned = records == null ? List.of() : withdrawAll(records);
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

        // Cancels requests of older sessions that have not started.
        private List<Execution> fence(EntryRecords records, SessionNumber session) {
            List<Execution> abandoned = new ArrayList<>();
            for (Waiter waiter : records.waiters()) {
                if (waiter.session().compareTo(session) >= 0) {
                    continue;
                }
                Execution.Withdrawal withdrawal = waiter.execution().withdraw(waiter.request());
                if (withdrawal instanceof Execution.Withdrawal.NotStarted notStarted) {
                    long expiryMs = waiter.deadlineMs() + InvocationService.RETENTION_MS;
                    records.put(waiter.request().counter(), new RequestRecord.Cancelled(expiryMs));
                    if (notStarted.abandoned()) {
                        abandoned.add(waiter.execution());
                    }
                }
            }
            return abandoned;
        }

        // Withdraws all requests of an older incarnation, because nobody waits for their responses.
        private List<Execution> withdrawAll(EntryRecords records) {
            mRetained.subtract(records.bytes());
            List<Execution> abandoned = new ArrayList<>();
            for (Waiter waiter : records.waiters()) {
                Execution.Withdrawal withdrawal = waiter.execution().withdraw(waiter.request());
                if (withdrawal instanceof Execution.Withdrawal.NotStarted notStarted
                        && notStarted.abandoned()) {
                    abandoned.add(waiter.execution());
                }
            }
            return abandoned;
        }

        synchronized Registration register(Waiter waiter, long nowMs) {
            RequestId request = waiter.request();
            Optional<EntryRecords> current = currentRecords(request, waiter.session());
            if (current.isEmpty()) {
                return Registration.FENCED;
            }
            EntryRecords records = current.get();
            mRetained.subtract(records.acknowledge(waiter.invoke().acknowledgedBelow()));
            mRetained.subtract(records.removeExpired(nowMs, EXPIRY_INTERVAL_MS));
            Optional<Registration> known = knownRegistration(records, request);
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
                RequestId request,
                SessionNumber session,
                ExecutionResponse response,
                long expiryMs) {
            Optional<EntryRecords> current = currentRecords(request, session);
            if (current.isEmpty()) {
                return Registration.FENCED;
            }
            Optional<Registration> known = knownRegistration(current.get(), request);
            if (known.isPresent()) {
                return known.get();
            }
            putEnded(current.get(), request, response, expiryMs);
            return Registration.REGISTERED;
        }

        private Optional<EntryRecords> currentRecords(RequestId request, SessionNumber session) {
            return Optional.ofNullable(mEntries.get(request.entry()))
                    .filter(records -> records.incarnation().equals(request.incarnation()))
                    .filter(records -> records.isCurrent(session));
        }

        private Optional<Registration> knownRegistration(EntryRecords records, RequestId request) {
            Optional<RequestRecord> record = records.find(request.counter());
            if (record.isPresent() && record.get() instanceof RequestRecord.Cancelled) {
                return Optional.of(Registration.CANCELLED);
            }
            boolean handled = record.isPresent() || records.isAcknowledged(request.counter());
            return handled ? Optional.of(Registration.FENCED) : Optional.empty();
        }

        synchronized Cancellation cancel(
                RequestId request, Optional<Consumer<InvokeResult>> reply, long expiryMs) {
            EntryRecords records =
                    mEntries.computeIfAbsent(
                            request.entry(), entry -> new EntryRecords(request.incarnation()));
            if (!records.incarnation().equals(request.incarnation())
                    || records.isAcknowledged(request.counter())) {
                // The entry no longer waits for the request, and its record may have been removed.
                return new Cancellation.Ended(ExecutionResponse.of(ResultCode.OUTCOME_UNKNOWN));
            }
            Optional<RequestRecord> record = records.find(request.counter());
            if (record.isEmpty()) {
                records.put(request.counter(), new RequestRecord.Cancelled(expiryMs));
                return new Cancellation.NotRun(Optional.empty());
            }
            if (record.get() instanceof RequestRecord.Ended ended) {
                return new Cancellation.Ended(ended.response());
            }
            if (record.get() instanceof RequestRecord.Waiting waiting) {
                return cancelWaiting(records, waiting.waiter(), reply, expiryMs);
            }
            return new Cancellation.NotRun(Optional.empty());
        }

        private Cancellation cancelWaiting(
                EntryRecords records,
                Waiter waiter,
                Optional<Consumer<InvokeResult>> reply,
                long expiryMs) {
            long counter = waiter.request().counter();
            Execution.Withdrawal withdrawal = waiter.execution().withdraw(waiter.request());
            if (withdrawal instanceof Execution.Withdrawal.NotStarted notStarted) {
                records.put(counter, new RequestRecord.Cancelled(expiryMs));
                return new Cancellation.NotRun(
                        notStarted.abandoned()
                                ? Optional.of(waiter.execution())
                                : Optional.empty());
            }
            if (withdrawal instanceof Execution.Withdrawal.Ended ended) {
                return new Cancellation.Ended(ended.response());
            }
            reply.ifPresent(
                    newReply ->
                            records.put(
                                    counter,
                                    new RequestRecord.Waiting(waiter.withReply(newReply))));
            return new Cancellation.Running();
        }

        synchronized Optional<Consumer<InvokeResult>> end(
                RequestId request, ExecutionResponse response, long expiryMs) {
            EntryRecords records = mEntries.get(request.entry());
            if (records == null || !records.incarnation().equals(request.incarnation())) {
                return Optional.empty();
            }
            Optional<RequestRecord> record = records.find(request.counter());
            if (record.isPresent() && record.get() instanceof RequestRecord.Waiting waiting) {
                if (records.isAcknowledged(request.counter())) {
                    records.remove(request.counter());
                } else {
                    putEnded(records, request, response, expiryMs);
                }
                return Optional.of(waiting.waiter().reply());
            }
            return Optional.empty();
        }

        private void putEnded(
                EntryRecords records,
                RequestId request,
                ExecutionResponse response,
                long expiryMs) {
            ExecutionResponse retained =
                    mRetained.hasCapacityFor(response.bytes())
                            ? response
                            : ExecutionResponse.of(withoutBody(response.code()));
            mRetained.add(retained.bytes());
            records.put(request.counter(), new RequestRecord.Ended(retained, expiryMs));
        }

        // A response without its body must not be taken for the complete response.
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
