package org.hickorycleat.daemon.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.daemon.transport.RecordCodec;
import org.hickorycleat.logic.directory.JobRecord;
import org.hickorycleat.logic.election.EpochGenerator;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.TaskProgress;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.store.StoreRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes records of the job log and of the entry list as keys and values, and decodes them. */
final class JobLogCodec {
    /** Topic of jobs, their queues and progress, ownership claims and interference weights. */
    static final String JOBS_TOPIC = "keyed.jobs";

    /** Topic of the entry list, with the address of each entry. */
    static final String ENTRIES_TOPIC = "keyed.entries";

    private static final EventLog LOG = EventLog.of(JobLogCodec.class);
    private static final String SUBMITTED_KEY_PREFIX = "j:";
    private static final String QUEUE_KEY_PREFIX = "q:";
    private static final String CANCELLED_KEY_PREFIX = "c:";
    private static final String PROGRESS_KEY_PREFIX = "p:";
    private static final String PROGRESS_PART_KEY_PREFIX = "t:";
    private static final String OWNER_KEY = "owner";
    private static final String INTERFERENCE_KEY = "interference";

    private static final byte[] NO_VALUE = {};

    private final RecordCodec mRecords = new RecordCodec();

    StoreRecord encode(JobRecord record) {
        if (record instanceof JobRecord.Removed removed) {
            return new StoreRecord(0, key(removed), NO_VALUE);
        }
        return toStoreRecord(key(record), record);
    }

    private static String key(JobRecord.Removed removed) {
        return switch (removed.kind()) {
            case SUBMISSION -> SUBMITTED_KEY_PREFIX + removed.job();
            case CANCELLATION -> CANCELLED_KEY_PREFIX + removed.job();
            case PROGRESS -> PROGRESS_KEY_PREFIX + removed.job();
            case PROGRESS_PART -> PROGRESS_PART_KEY_PREFIX + removed.job() + "/" + removed.part();
        };
    }

    // The directory needs the removals of submissions and of first parts of progress only.
    private static Optional<JobRecord> decodeRemoval(String key) {
        String job = key.substring(Math.min(key.length(), SUBMITTED_KEY_PREFIX.length()));
        if (job.isBlank()) {
            return Optional.empty();
        }
        if (key.startsWith(SUBMITTED_KEY_PREFIX)) {
            return Optional.of(new JobRecord.Removed(JobRecord.Kind.SUBMISSION, new JobId(job), 0));
        }
        return key.startsWith(PROGRESS_KEY_PREFIX)
                ? Optional.of(new JobRecord.Removed(JobRecord.Kind.PROGRESS, new JobId(job), 0))
                : Optional.empty();
    }

    private static String key(JobRecord record) {
        if (record instanceof JobRecord.Submitted submitted) {
            return SUBMITTED_KEY_PREFIX + submitted.submission().id();
        }
        if (record instanceof JobRecord.QueueAccepting accepting) {
            return QUEUE_KEY_PREFIX + accepting.queue().name();
        }
        if (record instanceof JobRecord.Cancelled cancelled) {
            return CANCELLED_KEY_PREFIX + cancelled.job();
        }
        if (record instanceof JobRecord.Progressed progressed) {
            return PROGRESS_KEY_PREFIX + progressed.progress().id();
        }
        if (record instanceof JobRecord.ProgressedPart part) {
            return PROGRESS_PART_KEY_PREFIX + part.progress().id() + "/" + part.part();
        }
        return record instanceof JobRecord.InterferenceUpdate ? INTERFERENCE_KEY : OWNER_KEY;
    }

    /**
     * Decodes a record, or the removal of one; returns empty if its key is unknown, or its value is
     * unreadable or out of range.
     */
    Optional<JobRecord> decode(StoreRecord record) {
        if (record.value().length == 0) {
            return decodeRemoval(record.key());
        }
        return decodeValue(record).filter(decoded -> isValid(record, decoded));
    }

    private Optional<JobRecord> decodeValue(StoreRecord record) {
        if (record.key().startsWith(SUBMITTED_KEY_PREFIX)) {
            return decodeValue(record, JobRecord.Submitted.class);
        }
        if (record.key().startsWith(QUEUE_KEY_PREFIX)) {
            return decodeValue(record, JobRecord.QueueAccepting.class);
        }
        if (record.key().startsWith(CANCELLED_KEY_PREFIX)) {
            return decodeValue(record, JobRecord.Cancelled.class);
        }
        if (record.key().startsWith(PROGRESS_KEY_PREFIX)) {
            return decodeValue(record, JobRecord.Progressed.class);
        }
        if (record.key().startsWith(PROGRESS_PART_KEY_PREFIX)) {
            return decodeValue(record, JobRecord.ProgressedPart.class);
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

    /** Encodes the removal of an entry from the list. */
    StoreRecord encodeEntryRemoval(ProcessId entry) {
        return new StoreRecord(0, entry.value(), NO_VALUE);
    }

    /** Decodes an entry; returns empty if it is unreadable or has no valid address. */
    Optional<FleetNode> decodeEntry(StoreRecord record) {
        if (record.value().length == 0) {
            return Optional.empty();
        }
        return decodeValue(record, FleetNode.class).filter(entry -> isValid(record, entry));
    }

    private static boolean isValid(StoreRecord record, FleetNode entry) {
        return logUnlessValid(
                record, entry.hasValidAddress() && entry.process().value().equals(record.key()));
    }

    private static boolean isValid(StoreRecord record, JobRecord decoded) {
        return logUnlessValid(record, key(decoded).equals(record.key()) && hasValidValues(decoded));
    }

    private static boolean hasValidValues(JobRecord decoded) {
        if (decoded instanceof JobRecord.Submitted submitted) {
            return submitted.submission().isWellFormed();
        }
        if (decoded instanceof JobRecord.Progressed progressed) {
            return progressed.progress().tasks().stream().allMatch(TaskProgress::isWellFormed);
        }
        if (decoded instanceof JobRecord.ProgressedPart part) {
            return part.part() > 0
                    && part.progress().tasks().stream().allMatch(TaskProgress::isWellFormed);
        }
        if (decoded instanceof JobRecord.Claimed claimed) {
            return EpochGenerator.isValid(claimed.epoch());
        }
        return true;
    }

    private static boolean logUnlessValid(StoreRecord record, boolean valid) {
        if (!valid) {
            LOG.event("record_invalid")
                    .with("key", record.key())
                    .with("offset", record.offset())
                    .warn();
        }
        return valid;
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
