package review2;

/** Configurations and jobs of the cases. */
final class Configurations {
    private Configurations() {}

    static String oneQueue(int maximumAttempts) {
        return "{\"version\":10,\"routes\":[{\"name\":\"r-jobs\",\"host\":\"h.example\","
                + "\"path_prefix\":\"/jobs/\",\"service\":\"booking\",\"priority\":0,"
                + "\"max_attempts\":"
                + maximumAttempts
                + ",\"stretch\":2,\"target_duration_ms\":1000,\"timeout_ms\":3000}],"
                + "\"services\":[{\"name\":\"booking\",\"enforces_capacity\":true}],"
                + "\"limits\":{\"max_body_bytes\":262144}}";
    }

    /** Returns a job whose tasks run for the given time; its specification has the given size. */
    static String job(int specificationBytes, int lengthMs, String steps) {
        String spec = "ms=" + lengthMs + ";";
        return "{\"task_spec\":\""
                + spec
                + "x".repeat(Math.max(0, specificationBytes - spec.length()))
                + "\",\"steps\":["
                + steps
                + "]}";
    }
}
