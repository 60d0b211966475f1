package org.hickorycleat.daemon.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.RecordCodec;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.store.StoreRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Translates records of the log of jobs, and of the list of entries, to keys and values. */
final class JobLogCodec {
    /** Topic of jobs, their progress and the claims of owners. */
    static final String JOBS_TOPIC = "keyed.jobs";

    /** Topic of the addresses of entries. */
    static final String ENTRIES_TOPIC = "keyed.entries";

    private static final EventLog LOG = EventLog.of(JobLogCodec.class);
    private static final String SUBMITTED = "j:";
    private static final String CANCELLED = "c:";
    private static final String PROGRESSED = "p:";
    private static final String CLAIMED = "owner";
    private static final String LEARNT = "interference";

    private final RecordCodec mRecords = new RecordCodec();

    StoreRecord encode(JobRecord record) {
        if (record instanceof JobRecord.Submitted submitted) {
            return stored(SUBMITTED + submitted.submission().id(), submitted);
        }
        if (record instanceof JobRecord.Cancelled cancelled) {
            return stored(CANCELLED + cancelled.job(), cancelled);
        }
        if (record instanceof JobRecord.Progressed progressed) {
            return stored(PROGRESSED + progressed.progress().id(), progressed);
        }
        return stored(record instanceof JobRecord.InterferenceUpdate ? LEARNT : CLAIMED, record);
    }

    /** Decodes a record; empty when it is none of ours. */
    Optional<JobRecord> decode(StoreRecord record) {
        if (record.value().length == 0) {
            return Optional.empty();
        }
        if (record.key().startsWith(SUBMITTED)) {
            return read(record, JobRecord.Submitted.class);
        }
        if (record.key().startsWith(CANCELLED)) {
            return read(record, JobRecord.Cancelled.class);
        }
        if (record.key().startsWith(PROGRESSED)) {
            return read(record, JobRecord.Progressed.class);
        }
        if (record.key().equals(CLAIMED)) {
            return read(record, JobRecord.Claimed.class);
        }
        if (record.key().equals(LEARNT)) {
            return read(record, JobRecord.InterferenceUpdate.class);
        }
        return Optional.empty();
    }

    StoreRecord encodeEntry(FleetNode entry) {
        return stored(entry.process().value(), entry);
    }

    Optional<FleetNode> decodeEntry(StoreRecord record) {
        return record.value().length == 0 ? Optional.empty() : read(record, FleetNode.class);
    }

    private StoreRecord stored(String key, Object value) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            mRecords.write(packer, value.getClass(), value);
            return new StoreRecord(0, key, packer.toByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private <T> Optional<T> read(StoreRecord record, Class<? extends T> type) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(record.value())) {
            return Optional.<T>of(type.cast(mRecords.read(unpacker, type)));
        } catch (IOException | RuntimeException e) {
            LOG.event("record_unreadable")
                    .with("key", record.key())
                    .with("offset", record.offset())
                    .with("cause", e)
                    .warn();
            return Optional.empty();
        }
    }
}
