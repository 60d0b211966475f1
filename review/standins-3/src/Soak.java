import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Plays random jobs and random disruptions against the real processes. */
final class Soak {
    private static final int MAXIMUM_ATTEMPTS = 4;

    private final Random mRandom;
    private final Fleet mFleet;
    private final Servers mServers;
    private final Store mStore;
    private final Record mRecord;
    private int mPerpetualJobs;
    private int mVersion = 1;
    private static boolean sGuards = true;

    private Soak(long seed, Path folder) throws Exception {
        mRandom = new Random(seed);
        Files.createDirectories(folder);
        mRecord = new Record(folder.resolve("record.txt"));
        mFleet = new Fleet(folder, mRecord, 3, 5);
        mServers = new Servers(mRecord);
        mStore = new Store(20_000);
    }

    public static void main(String[] arguments) throws Exception {
        long seed = Long.parseLong(arguments[0]);
        int seconds = Integer.parseInt(arguments[1]);
        boolean trouble = arguments[2].equals("1");
        sGuards = seed % 2 == 0;
        Soak soak = new Soak(seed, Path.of(arguments[3]));
        int status;
        try {
            status = soak.run(seconds, trouble, seed);
        } finally {
            soak.mFleet.close();
        }
        System.exit(status);
    }

    private static final String ROUTE_2 =
            ",{\"name\":\"q2\",\"host\":\""
                    + Clients.HOST
                    + "\",\"path_prefix\":\"/a/b/\",\"service\":\"svc\",\"priority\":2,"
                    + "\"max_attempts\":4,\"stretch\":2.0,\"target_duration_ms\":1000,"
                    + "\"timeout_ms\":3000}";

    static String configuration(int version) {
        return "{\"version\":"
                + version
                + ",\"routes\":[{\"name\":\"q1\",\"host\":\""
                + Clients.HOST
                + "\",\"path_prefix\":\"/a/\",\"service\":\"svc\",\"priority\":0,\"max_attempts\":"
                + MAXIMUM_ATTEMPTS
                + ",\"stretch\":2.0,\"target_duration_ms\":1000,\"timeout_ms\":3000}"
                + (version % 3 == 0 ? "" : ROUTE_2)
                + "],"
                + "\"services\":[{\"name\":\"svc\",\"enforces_capacity\":" + sGuards + "}],"
                + "\"limits\":{\"max_body_bytes\":262144}}";
    }

    private Job randomJob() {
        Job job = new Job(String.format("%016x", mRandom.nextLong()), "/a/");
        int kind = mRandom.nextInt(10);
        int steps = kind < 2 ? 1 : 1 + mRandom.nextInt(3);
        for (int i = 0; i < steps; i++) {
            Job.Step step = new Job.Step();
            step.mGang = kind >= 5 && mRandom.nextInt(2) == 0;
            step.mCount = step.mGang ? 2 + mRandom.nextInt(3) : 1 + mRandom.nextInt(4);
            step.mCpu = 200 + mRandom.nextInt(700);
            step.mDurationMs = 300 + mRandom.nextInt(2_000);
            step.mSaves = mRandom.nextInt(2) == 0;
            step.mFailures = mRandom.nextInt(6) == 0 ? 1 + mRandom.nextInt(2) : 0;
            step.mPerpetual = kind == 0 && mPerpetualJobs < 3;
            step.mMaximumPerServer = mRandom.nextInt(5) == 0 ? 1 : 0;
            if (i > 0 && mRandom.nextInt(3) > 0) {
                step.mAfter.add(i - 1);
            }
            job.mSteps.add(step);
        }
        mPerpetualJobs += job.isPerpetual() ? 1 : 0;
        if (kind == 4) {
            job.mRepeat = 1 + mRandom.nextInt(4);
            job.mStartAtMs = System.currentTimeMillis() + 1_000 + mRandom.nextInt(3_000);
            job.mIntervalMs = 1_000 + mRandom.nextInt(2_000);
        }
        return job;
    }

    private int run(int seconds, boolean trouble, long seed) throws Exception {
        for (String node : mFleet.mEntries) {
            Http.serve(mFleet.store(node), mStore::handle);
        }
        for (String node : mFleet.mAgents) {
            Http.serve(mFleet.store(node), mStore::handle);
        }
        mStore.put("keyed.op", "config", configuration(1));
        int number = 0;
        for (String agent : mFleet.mAgents) {
            number++;
            mServers.mServers.add(
                    new Server(
                            mServers,
                            "i-" + number,
                            mFleet.app(agent),
                            mFleet.control(agent),
                            "north",
                            "r1-" + (number + 1) / 2,
                            8_000,
                            seed + number));
        }
        mServers.mServers.forEach(server -> server.setGuards(sGuards));
        Thread ticker =
                new Thread(
                        () -> {
                            long last = mRecord.nowMs();
                            while (true) {
                                Clients.sleep(10);
                                long now = mRecord.nowMs();
                                mServers.tick(now - last);
                                last = now;
                            }
                        });
        ticker.setDaemon(true);
        ticker.start();
        mFleet.startAll();
        List<InetSocketAddress> fronts = mFleet.mEntries.stream().map(mFleet::front).toList();
        Clients clients = new Clients(mServers, fronts);
        Clients.sleep(7_000);
        long endMs = mRecord.nowMs() + seconds * 1_000L;
        Thread troubles = new Thread(() -> disrupt(endMs - 3_000));
        Thread others = new Thread(() -> disrupt(endMs - 3_000));
        if (trouble) {
            troubles.start();
            others.start();
        }
        List<Job> cancellable = new ArrayList<>();
        while (mRecord.nowMs() < endMs) {
            Job job = randomJob();
            clients.submit(job);
            if (mRandom.nextInt(3) == 0) {
                clients.repeatLater(job, 500 + mRandom.nextInt(6_000));
            }
            if (trouble && mRandom.nextInt(20) == 0) {
                mStore.put("keyed.op", "config", configuration(++mVersion));
            }
            if (mRandom.nextInt(8) == 0) {
                cancellable.add(job);
            }
            Clients.sleep(150 + mRandom.nextInt(500));
            long now = mRecord.nowMs();
            cancellable.removeIf(
                    candidate -> {
                        boolean due =
                                candidate.mAcceptedMs >= 0
                                        && now > candidate.mAcceptedMs + mRandom.nextInt(4_000);
                        if (due) {
                            clients.cancel(candidate);
                        }
                        return due;
                    });
        }
        if (trouble) {
            troubles.join();
            others.join();
        }
        Clients.sleep(24_000);
        new Checker(mServers, MAXIMUM_ATTEMPTS).check();
        long alone = mServers.mRuns.stream().filter(r -> r.mHow.equals("alone")).count();
        mRecord.line("runs " + mServers.mRuns.size() + " alone " + alone);
        System.out.println(
                "jobs " + mServers.mJobs.size() + " runs " + mServers.mRuns.size() + " alone "
                        + alone + " violations " + mServers.mViolations.size());
        mServers.mViolations.stream().limit(20).forEach(System.out::println);
        return mServers.mViolations.isEmpty() ? 0 : 1;
    }

    private String pick(List<String> nodes) {
        return nodes.get(mRandom.nextInt(nodes.size()));
    }

    private void disrupt(long untilMs) {
        Random random = new Random(mRandom.nextLong());
        while (mRecord.nowMs() < untilMs) {
            try {
                disruptOnce(random);
            } catch (Exception e) {
                mRecord.line("disruption failed: " + e);
            }
            Clients.sleep(1_000 + random.nextInt(3_000));
        }
    }

    private void disruptOnce(Random random) throws Exception {
        String entry = mFleet.mEntries.get(random.nextInt(3));
        String agent = mFleet.mAgents.get(random.nextInt(5));
        Server server = mServers.mServers.get(random.nextInt(5));
        switch (random.nextInt(16)) {
            case 0 -> mFleet.kill(entry, 1_000);
            case 1 -> mFleet.kill(agent, 1_000);
            case 2 -> {
                mFleet.signal(entry, "STOP");
                Clients.sleep(3_500);
                mFleet.signal(entry, "CONT");
            }
            case 3 -> {
                mFleet.signal(agent, "STOP");
                Clients.sleep(3_500);
                mFleet.signal(agent, "CONT");
            }
            case 4 -> {
                server.crash();
                Clients.sleep(1_000 + random.nextInt(3_000));
                server.restart();
            }
            case 5 -> {
                mServers.mServers.forEach(s -> s.setLateShare(0.06));
                mRecord.line("late begins");
                Clients.sleep(5_000);
                mServers.mServers.forEach(s -> s.setLateShare(0));
            }
            case 6 -> {
                mRecord.line("store loses answers");
                mStore.setGate(
                        (caller, write) ->
                                write && Math.random() < 0.3
                                        ? Store.Fault.LOSE_ANSWER
                                        : Store.Fault.NONE);
                Clients.sleep(4_500);
                mStore.setGate((caller, write) -> Store.Fault.NONE);
            }
            case 7 -> {
                mRecord.line("store down for " + entry);
                String host = mFleet.store(entry).getAddress().getHostAddress();
                mStore.setGate(
                        (caller, write) ->
                                caller.equals(host) ? Store.Fault.REJECT : Store.Fault.NONE);
                Clients.sleep(5_000);
                mStore.setGate((caller, write) -> Store.Fault.NONE);
            }
            case 8 -> {
                mRecord.line("store down");
                mStore.setGate((caller, write) -> Store.Fault.REJECT);
                Clients.sleep(4_000);
                mStore.setGate((caller, write) -> Store.Fault.NONE);
            }
            case 9 -> {
                mRecord.line("all entries killed");
                for (String each : mFleet.mEntries) {
                    mFleet.signal(each, "KILL");
                }
                Clients.sleep(1_000);
                for (String each : mFleet.mEntries) {
                    mFleet.awaitEnd(each, 2_000);
                    mFleet.start(each);
                }
            }
            case 10 -> {
                int index = random.nextInt(5);
                Server beside = mServers.mServers.get(index);
                beside.crash();
                mFleet.kill(mFleet.mAgents.get(index), 500 + random.nextInt(2_000));
                beside.restart();
            }
            case 11 -> {
                mFleet.signal(entry, "TERM");
                mFleet.awaitEnd(entry, 6_000);
                Clients.sleep(300);
                mFleet.start(entry);
            }
            case 12 -> {
                mRecord.line("store slow");
                mStore.setGate((caller, write) -> Store.Fault.SLOW);
                Clients.sleep(4_500);
                mStore.setGate((caller, write) -> Store.Fault.NONE);
            }
            case 13 -> {
                mFleet.signal(entry, "STOP");
                mFleet.signal(agent, "STOP");
                Clients.sleep(3_500);
                mFleet.signal(entry, "CONT");
                mFleet.signal(agent, "CONT");
            }
            case 14 -> {
                server.crash();
                server.restart();
            }
            default -> {
                mRecord.line("stalled " + server.mName);
                server.setStalled(true);
                Clients.sleep(4_000);
                server.setStalled(false);
            }
        }
    }
}
