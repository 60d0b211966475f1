package org.hickorycleat.logic.ownership;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;

/**
 * State of a shard as seen by one entry.
 *
 * @param shard the shard
 * @param based whether the state is known from the log
 * @param acting whether this process owns the shard
 * @param epoch offset of the latest valid claim
 * @param owner writer of that claim
 * @param nextOffset offset to read from next
 * @param logReadable whether the log responded within the read timeout
 * @param outstandingDecisions decisions that were appended and not read back yet
 * @param pending tasks without an attempt
 * @param placed tasks with an attempt
 * @param ended batch tasks that have ended
 * @param fencedAgents agents that confirmed the epoch
 * @param droppedDecisions invalid decisions of the placement policy that were discarded
 * @param malformedRecords records that could not be decoded
 * @param ineffectiveDecisions recorded decisions that did not apply to the state
 */
public record ShardDump(
        ShardNumber shard,
        boolean based,
        boolean acting,
        Epoch epoch,
        Optional<OwnerIdentity> owner,
        long nextOffset,
        boolean logReadable,
        int outstandingDecisions,
        long pending,
        long placed,
        long ended,
        long fencedAgents,
        long droppedDecisions,
        long malformedRecords,
        long ineffectiveDecisions) {}
