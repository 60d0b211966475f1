package org.hickorycleat.daemon.http;

import java.util.List;
import java.util.Optional;

/** What a process shows to operators; every value is turned into JSON. */
public interface AdminOperations {
    /** Returns a short summary of the process. */
    ProcessStatus status();

    /** Returns the whole state of the process. */
    Object dump();

    /** Returns the jobs that the process knows. */
    List<AdminTaskStatus> jobs();

    /** Tells why a task waits or stands where it stands. */
    Optional<AdminTaskStatus> explain(String task);

    /** Returns why the process cannot serve; empty when it can. */
    List<String> notReadyReasons();

    /** Starts a graceful shutdown. */
    void drain();
}
