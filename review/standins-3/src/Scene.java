import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A small deployment: store, servers and clients beside the processes of the system. */
final class Scene implements AutoCloseable {
    static final int MAXIMUM_ATTEMPTS = 4;
    private static final long START_MS = 7_000;
    private static final long KEEP_MS = 20_000;

    final Record mRecord;
    final Fleet mFleet;
    final Servers mServers;
    final Store mStore;
    final Clients mClients;

    Scene(Path folder, int entries, int agents, int cpu) throws Exception {
        Files.createDirectories(folder);
        mRecord = new Record(folder.resolve("record.txt"));
        mFleet = new Fleet(folder, mRecord, entries, agents);
        mServers = new Servers(mRecord);
        mStore = new Store(KEEP_MS);
        for (String node : mFleet.mEntries) {
            Http.serve(mFleet.store(node), mStore::handle);
        }
        int number = 0;
        for (String node : mFleet.mAgents) {
            number++;
            Http.serve(mFleet.store(node), mStore::handle);
            mServers.mServers.add(
                    new Server(
                            mServers,
                            "i-" + number,
                            mFleet.app(node),
                            mFleet.control(node),
                            "north",
                            "r1-1",
                            cpu,
                            number));
        }
        mStore.put("keyed.op", "config", configuration());
        List<InetSocketAddress> fronts = mFleet.mEntries.stream().map(mFleet::front).toList();
        mClients = new Clients(mServers, fronts);
    }

    private static String configuration() {
        return "{\"version\":1,\"routes\":[{\"name\":\"q1\",\"host\":\""
                + Clients.HOST
                + "\",\"path_prefix\":\"/a/\",\"service\":\"svc\",\"priority\":0,\"max_attempts\":"
                + MAXIMUM_ATTEMPTS
                + ",\"stretch\":2.0,\"target_duration_ms\":1000,\"timeout_ms\":3000}],"
                + "\"services\":[{\"name\":\"svc\",\"enforces_capacity\":true}],"
                + "\"limits\":{\"max_body_bytes\":262144}}";
    }

    /** Starts the processes and the work of the servers. */
    void start() throws Exception {
        Thread ticker = new Thread(this::tick);
        ticker.setDaemon(true);
        ticker.start();
        mFleet.startAll();
        Clients.sleep(START_MS);
    }

    private void tick() {
        long last = mRecord.nowMs();
        while (true) {
            Clients.sleep(20);
            long now = mRecord.nowMs();
            mServers.tick(now - last);
            last = now;
        }
    }

    /** Returns a job of one step. */
    static Job job(long number, int tasks, int cpu, int memory, int durationMs) {
        Job job = new Job(String.format("%016x", number), "/a/");
        Job.Step step = new Job.Step();
        step.mCount = tasks;
        step.mCpu = cpu;
        step.mMemory = memory;
        step.mDurationMs = durationMs;
        job.mSteps.add(step);
        return job;
    }

    /** Returns whether a job is completed for its clients. */
    static boolean isCompleted(Job job) {
        return job.lastState().equals("completed");
    }

    /**
     * Watches for some time, and reports the jobs of which nothing runs for 3 s while less than
     * half of the capacity is in use, as LOST.
     */
    void watchForWaitingJobs(long durationMs) {
        long endMs = mRecord.nowMs() + durationMs;
        java.util.Map<Job, Long> idleSince = new java.util.HashMap<>();
        java.util.Set<Job> reported = new java.util.HashSet<>();
        while (mRecord.nowMs() < endMs) {
            long nowMs = mRecord.nowMs();
            synchronized (mServers) {
                int capacity = mServers.mServers.stream().mapToInt(Server::cpu).sum();
                int free = mServers.mServers.stream().mapToInt(Server::freeCpu).sum();
                for (Job job : mServers.mJobs.values()) {
                    boolean runs =
                            mServers.mServers.stream()
                                    .flatMap(server -> server.running().stream())
                                    .anyMatch(run -> run.mJob == job);
                    boolean waits =
                            job.mAcceptedMs >= 0
                                    && job.mCancelSentMs < 0
                                    && !isCompleted(job)
                                    && !runs
                                    && 2 * free > capacity;
                    if (!waits) {
                        idleSince.remove(job);
                    } else if (nowMs - idleSince.computeIfAbsent(job, key -> nowMs) >= 3_000
                            && reported.add(job)) {
                        mServers.violation(
                                "LOST",
                                job.mId
                                        + " is "
                                        + job.lastState()
                                        + ", and nothing of it runs for 3 s with "
                                        + free
                                        + " of "
                                        + capacity
                                        + " thousandths of a core free");
                    }
                }
            }
            Clients.sleep(100);
        }
    }

    @Override
    public void close() {
        mClients.stop();
        mFleet.close();
    }
}
