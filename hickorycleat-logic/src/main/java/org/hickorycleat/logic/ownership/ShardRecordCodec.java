package org.hickorycleat.logic.ownership;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.msgpack.core.MessagePackException;

/** Encodes shard records as a sequence of MessagePack values: version, type, fields in order. */
public final class ShardRecordCodec {
    private static final int VERSION = 1;
    private static final int CLAIM = 1;
    private static final int RENEWAL = 2;
    private static final int BATCH = 3;
    private static final int SNAPSHOT = 4;

    /** Encodes a record. */
    public byte[] encode(ShardRecord content) {
        FieldWriter writer = new FieldWriter().number(VERSION);
        if (content instanceof ShardRecord.Claim claim) {
            writer.number(CLAIM);
            owner(writer, claim.owner());
            writer.number(claim.replaced().value());
        } else if (content instanceof ShardRecord.Renewal renewal) {
            writer.number(RENEWAL).number(renewal.epoch().value());
            owner(writer, renewal.owner());
        } else if (content instanceof ShardRecord.DecisionBatch batch) {
            writer.number(BATCH).number(batch.epoch().value());
            owner(writer, batch.owner());
            DecisionCodec decisions = new DecisionCodec();
            writer.number(batch.sequence())
                    .list(batch.decisions(), decision -> decisions.write(writer, decision));
        } else if (content instanceof ShardRecord.Snapshot snapshot) {
            writer.number(SNAPSHOT).number(snapshot.throughOffset());
            new ShardSnapshotCodec().write(writer, snapshot.content());
        }
        return writer.bytes();
    }

    /** Decodes a record; empty if the payload is not a complete record of this format version. */
    public Optional<ShardRecord> decode(byte[] payload) {
        try {
            FieldReader reader = new FieldReader(payload);
            if (reader.number() != VERSION) {
                return Optional.empty();
            }
            ShardRecord content = content(reader);
            return reader.isAtEnd() ? Optional.of(content) : Optional.empty();
        } catch (IOException | MessagePackException | IllegalArgumentException exception) {
            return Optional.empty();
        }
    }

    private static ShardRecord content(FieldReader reader) throws IOException {
        int type = reader.smallNumber();
        return switch (type) {
            case CLAIM -> new ShardRecord.Claim(owner(reader), new Epoch(reader.number()));
            case RENEWAL -> new ShardRecord.Renewal(new Epoch(reader.number()), owner(reader));
            case BATCH -> batch(reader);
            case SNAPSHOT ->
                    new ShardRecord.Snapshot(
                            reader.number(), new ShardSnapshotCodec().read(reader));
            default -> throw new IllegalArgumentException("unknown record type: " + type);
        };
    }

    private static ShardRecord batch(FieldReader reader) throws IOException {
        Epoch epoch = new Epoch(reader.number());
        OwnerIdentity owner = owner(reader);
        long sequence = reader.number();
        DecisionCodec fields = new DecisionCodec();
        List<ShardDecision> decisions = reader.list(() -> fields.read(reader));
        return new ShardRecord.DecisionBatch(epoch, owner, sequence, decisions);
    }

    static void owner(FieldWriter writer, OwnerIdentity owner) {
        writer.text(owner.process().value()).number(owner.incarnation().value());
    }

    static OwnerIdentity owner(FieldReader reader) throws IOException {
        return new OwnerIdentity(new ProcessId(reader.text()), new Incarnation(reader.number()));
    }
}
