package org.hickorycleat.logic.ownership;

import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ShardNumber;

/**
 * State of a shard as one entry sees it.
 *
 * @param shard the shard
 * @param based whether the state is known from the log
 * @param acting whether this process owns it
 * @param epoch offset of the latest valid claim
 * @param owner writer of that claim
 * @param nextOffset offset to read from next
 * @param logReadable whether the log answered lately
 * @param outstandingDecisions decisions appended and not read back
 * @param pending tasks without attempt
 * @param placed tasks with an attempt
 * @param ended batch tasks that have ended
 * @param fencedAgents agents that confirmed the epoch
 * @param droppedDecisions decisions of the policy that were not allowed
 * @param malformedRecords records that could not be decoded
 * @param ineffectiveDecisions recorded decisions that the state did not allow
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
