package org.hickorycleat.daemon.fleet;

/** Example configuration with one queue, and an example job with two steps. */
final class FleetExamples {
    static final String CONFIGURATION =
            "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
                    + "\"path_prefix\":\"/jobs/\",\"service\":\"booking\",\"timeout_ms\":3000,"
                    + "\"max_attempts\":2,\"stretch\":1.5}],"
                    + "\"services\":[{\"name\":\"booking\",\"enforces_capacity\":true}],"
                    + "\"limits\":{\"max_body_bytes\":100000}}";
    static final String JOB =
            "{\"task_spec\":\"text\",\"steps\":[{\"count\":3,\"cpu\":500,\"mem_mb\":256},"
                    + "{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"after\":[0]}]}";

    private FleetExamples() {}
}
