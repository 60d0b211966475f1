package org.hickorycleat.logic.directory;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hickorycleat.model.job.JobId;
import org.hickorycleat.model.job.JobProgress;
import org.hickorycleat.model.job.JobSubmission;
import org.hickorycleat.model.job.StepSpecification;
import org.hickorycleat.model.job.TaskProgress;

/**
 * Divides the progress of jobs into records that the store accepts, and finds those that changed.
 *
 * <p>Each part has the progress of a fixed number of tasks, so that its size has a bound whatever
 * the size of the job. A checkpoint that exceeds its share of a record is not stored; its task
 * restarts without it under another owner.
 */
public final class ProgressPartitioner {
    /** Number of tasks in one part. */
    static final int TASKS_PER_PART = 64;

    /** Size of the progress of a task without its checkpoint, in bytes; rounded up. */
    private static final int TASK_BYTES = 512;

    private final int mMaximumCheckpointBytes;
    private final Map<JobId, Map<Integer, JobProgress>> mStoredParts = new HashMap<>();

    /**
     * Creates a partitioner.
     *
     * @param maximumRecordBytes maximum size of a store record, in bytes
     */
    public ProgressPartitioner(int maximumRecordBytes) {
        mMaximumCheckpointBytes = Math.max(0, maximumRecordBytes / TASKS_PER_PART - TASK_BYTES);
    }

    /**
     * Returns the records of the parts that differ from those returned before. The first part is
     * the last one, because it may replace a record of an earlier version that has all tasks.
     */
    public synchronized List<JobRecord> changedParts(
            Optional<JobSubmission> submission, JobProgress progress) {
        Map<Integer, JobProgress> stored =
                mStoredParts.computeIfAbsent(progress.id(), job -> new HashMap<>());
        List<JobRecord> changed = new ArrayList<>();
        for (Map.Entry<Integer, List<TaskProgress>> part : parts(submission, progress).entrySet()) {
            JobProgress content = new JobProgress(progress.id(), progress.state(), part.getValue());
            JobProgress before = stored.put(part.getKey(), content);
            boolean first = part.getKey() == 0;
            boolean sameTasks = before != null && before.tasks().equals(content.tasks());
            if (!sameTasks || (first && before.state() != content.state())) {
                changed.add(
                        first
                                ? new JobRecord.Progressed(content)
                                : new JobRecord.ProgressedPart(part.getKey(), content));
            }
        }
        if (progress.state().isFinal()) {
            mStoredParts.remove(progress.id());
        }
        return changed;
    }

    private Map<Integer, List<TaskProgress>> parts(
            Optional<JobSubmission> submission, JobProgress progress) {
        Map<Integer, List<TaskProgress>> parts = new TreeMap<>(Comparator.reverseOrder());
        parts.put(0, new ArrayList<>());
        for (TaskProgress task : progress.tasks()) {
            int part = submission.map(job -> ordinal(job, task) / TASKS_PER_PART).orElse(0);
            parts.computeIfAbsent(part, number -> new ArrayList<>()).add(withinLimit(task));
        }
        return parts;
    }

    /** Returns the number of tasks of the job before the given one. */
    private static int ordinal(JobSubmission submission, TaskProgress task) {
        int before = 0;
        int perOccurrence = 0;
        List<StepSpecification> steps = submission.steps();
        for (int i = 0; i < steps.size(); i++) {
            before += i < task.step() ? steps.get(i).count() : 0;
            perOccurrence += steps.get(i).count();
        }
        return task.occurrence() * perOccurrence + before + task.index();
    }

    private TaskProgress withinLimit(TaskProgress task) {
        boolean fits =
                task.checkpoint()
                        .filter(
                                checkpoint ->
                                        checkpoint.getBytes(StandardCharsets.UTF_8).length
                                                > mMaximumCheckpointBytes)
                        .isEmpty();
        return fits ? task : task.withoutCheckpoint();
    }
}
