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

/** Encodes records of the job log and of the entry list as keys and values, and decodes them. */
final class JobLogCodec {
    /** Topic of jobs, their progress, ownership claims and interference weights. */
    static final String JOBS_TOPIC = "keyed.jobs";

    /** Topic of the entry list, with the address of each entry. */
    static final String ENTRIES_TOPIC = "keyed.entries";

    private static final EventLog LOG = EventLog.of(JobLogCodec.class);
    private static final String SUBMITTED_KEY_PREFIX = "j:";
    private static final String CANCELLED_KEY_PREFIX = "c:";
    private static final String PROGRESS_KEY_PREFIX = "p:";
    private static final String OWNER_KEY = "owner";
    private static final String INTERFERENCE_KEY = "interference";

    private final RecordCodec mRecords = new RecordCodec();

    StoreRecord encode(JobRecord record) {
        if (record instanceof JobRecord.Submitted submitted) {
            return toStoreRecord(SUBMITTED_KEY_PREFIX + submitted.submission().id(), submitted);
        }
        if (record instanceof JobRecord.Cancelled cancelled) {
            return toStoreRecord(CANCELLED_KEY_PREFIX + cancelled.job(), cancelled);
        }
        if (record instanceof JobRecord.Progressed progressed) {
            return toStoreRecord(PROGRESS_KEY_PREFIX + progressed.progress().id(), progressed);
        }
        return toStoreRecord(
                record instanceof JobRecord.InterferenceUpdate ? INTERFERENCE_KEY : OWNER_KEY,
                record);
    }

    /** Decodes a record; returns empty if its key is unknown or its value is unreadable. */
    Optional<JobRecord> decode(StoreRecord record) {
        if (record.value().length == 0) {
            return Optional.empty();
        }
        if (record.key().startsWith(SUBMITTED_KEY_PREFIX)) {
            return decodeValue(record, JobRecord.Submitted.class);
        }
        if (record.key().startsWith(CANCELLED_KEY_PREFIX)) {
            return decodeValue(record, JobRecord.Cancelled.class);
        }
        if (record.key().startsWith(PROGRESS_KEY_PREFIX)) {
            return decodeValue(record, JobRecord.Progressed.class);
        }
        if (record.key().equals(OWNER_KEY)) {
            return decodeValue(record, JobRecord.Claimed.class);
        }
        if (record.key().equals(INTERFERENCE_KEY)) {
            return decodeValue(record, JobRecord.InterferenceUpdate.class);
        }
        return Optional.empty();
    }

    StoreRecord encodeEntry(FleetNode entry) {
        return toStoreRecord(entry.process().value(), entry);
    }

    Optional<FleetNode> decodeEntry(StoreRecord record) {
        return record.value().length == 0 ? Optional.empty() : decodeValue(record, FleetNode.class);
    }

    private StoreRecord toStoreRecord(String key, Object value) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            mRecords.write(packer, value.getClass(), value);
            return new StoreRecord(0, key, packer.toByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private <T> Optional<T> decodeValue(StoreRecord record, Class<? extends T> type) {
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
