package org.hickorycleat.logic.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hickorycleat.model.job.JobId;

/** A log of jobs that keeps every record and the newest one of each key. */
final class SimulatedJobLog {
    private final List<JobRecord> mRecords = new ArrayList<>();
    private final Map<String, JobRecord> mNewest = new TreeMap<>();

    void append(JobRecord record) {
        mRecords.add(record);
        if (record instanceof JobRecord.Removed) {
            mNewest.remove(key(record));
        } else {
            mNewest.put(key(record), record);
        }
    }

    int endOffset() {
        return mRecords.size();
    }

    JobRecord read(int offset) {
        return mRecords.get(offset);
    }

    /** Returns the newest records in the order of their keys, as the store does. */
    List<JobRecord> newest() {
        return new ArrayList<>(mNewest.values());
    }

    boolean hasSubmission(JobId job) {
        return mNewest.containsKey("j:" + job);
    }

    private static String key(JobRecord record) {
        if (record instanceof JobRecord.Submitted submitted) {
            return "j:" + submitted.submission().id();
        } else if (record instanceof JobRecord.Cancelled cancelled) {
            return "c:" + cancelled.job();
        } else if (record instanceof JobRecord.Progressed progressed) {
            return "p:" + progressed.progress().id();
        } else if (record instanceof JobRecord.ProgressedPart part) {
            return "t:" + part.progress().id() + "/" + part.part();
        }
        JobRecord.Removed removed = (JobRecord.Removed) record;
        return switch (removed.kind()) {
            case SUBMISSION -> "j:" + removed.job();
            case CANCELLATION -> "c:" + removed.job();
            case PROGRESS -> "p:" + removed.job();
            case PROGRESS_PART -> "t:" + removed.job() + "/" + removed.part();
        };
    }
}
