package org.hickorycleat.daemon.fleet;

/** Example configuration with one queue, and an example job with two steps. */
final class FleetExamples {
    static final String CONFIGURATION = configuration(7, 0);
    static final String JOB =
            "{\"task_spec\":\"text\",\"steps\":[{\"count\":3,\"cpu\":500,\"mem_mb\":256},"
                    + "{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"after\":[0]}]}";

    /** Example job whose single task runs until the job is cancelled. */
    static final String PERPETUAL_JOB =
            "{\"task_spec\":\""
                    + WorkerStandIn.ENDLESS
                    + "\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"perpetual\":true}]}";

    private FleetExamples() {}

    /** Returns an example configuration with one queue for jobs and further unused queues. */
    static String configuration(int version, int unusedQueues) {
        StringBuilder queues = new StringBuilder(queue("r", "/jobs/"));
        for (int i = 0; i < unusedQueues; i++) {
            queues.append(',').append(queue("unused-" + i, "/unused-" + i + "/"));
        }
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + queues
                + "],\"services\":[{\"name\":\"booking\",\"enforces_capacity\":true}],"
                + "\"limits\":{\"max_body_bytes\":100000}}";
    }

    private static String queue(String name, String pathPrefix) {
        return "{\"name\":\""
                + name
                + "\",\"host\":\"h.example\",\"path_prefix\":\""
                + pathPrefix
                + "\",\"service\":\"booking\",\"timeout_ms\":3000,"
                + "\"max_attempts\":2,\"stretch\":1.5}";
    }
}
