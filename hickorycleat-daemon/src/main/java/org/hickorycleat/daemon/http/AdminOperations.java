package org.hickorycleat.daemon.http;

import java.util.List;
import java.util.Optional;

/**
 * Operations of a process behind the admin HTTP interface; return values are serialized as JSON.
 */
public interface AdminOperations {
    /** Returns the status summary of the process. */
    ProcessStatus status();

    /** Returns the internal state of the process for a dump. */
    Object dump();

    /** Returns the jobs of the shards that this process owns. */
    List<AdminTaskStatus> jobs();

    /**
     * Returns the status of a task with the reason for its placement or wait; empty if the task is
     * unknown here.
     */
    Optional<AdminTaskStatus> explain(String task);

    /** Returns the reasons why the process is not ready; empty if it is ready. */
    List<String> notReadyReasons();

    /** Starts a graceful shutdown. */
    void drain();
}
