package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's own programs as processes, started with the commands of the deploy file, with one
 * loopback address a machine, and stand-ins of the store and the minions.
 */
final class Fleet implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    private static final String SERVICE = "huvo11a";
    private static final String[] ZONES = {"groningen", "drenthe", "friesland", "delfzijl"};
    private static final int CALL_MS = 3_000;

    private final Record mRecord;
    private final Path mRoot = Path.of("").toAbsolutePath();
    private final Path mFolder;
    private final Map<String, List<String>> mCommands = new HashMap<>();
    private final Map<String, Process> mProcesses = new HashMap<>();
    private final Map<String, String> mRoles = new HashMap<>();
    private final List<String> mEntries = new ArrayList<>();
    private final List<String> mAgents = new ArrayList<>();
    private final List<Worker> mWorkers = new ArrayList<>();
    private final Map<String, String> mFront = new HashMap<>();
    private final Map<String, String> mReady = new HashMap<>();
    private final Store mStore;

    Fleet(Record record) throws IOException {
        mRecord = record;
        mStore = new Store(record);
        mFolder = Files.createTempDirectory("hickorycleat-review");
        readCommands();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private void readCommands() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(mRoot.resolve("deploy/system.toml"))) {
            Matcher section = Pattern.compile("\\[roles\\.(\\w+)\\]").matcher(line.strip());
            Matcher run = Pattern.compile("run = \"(.*)\"").matcher(line.strip());
            if (section.matches()) {
                role = section.group(1);
            } else if (run.matches()) {
                mCommands.put(role, Arrays.asList(run.group(1).split(" ")));
            }
        }
    }

    Store store() {
        return mStore;
    }

    List<Worker> workers() {
        return mWorkers;
    }

    List<String> entries() {
        return mEntries;
    }

    List<String> agents() {
        return mAgents;
    }

    Worker workerOf(String agent) {
        return mWorkers.get(mAgents.indexOf(agent));
    }

    /** Starts the machines; each agent has one minion. Returns when all entries are ready. */
    void start(int entries, int agents, Worker.Sizes sizes, Consumer<String> note)
            throws IOException {
        String net = "127." + (64 + ThreadLocalRandom.current().nextInt(128)) + ".7.";
        int port = freePorts(net, entries + agents);
        mStore.put(
                "keyed.op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-wrr6x73\",\"host\":\""
                        + HOST
                        + "\",\"path_prefix\":\""
                        + PREFIX
                        + "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_duration_ms\":1000,"
                        + "\"priority\":2,\"service\":\""
                        + SERVICE
                        + "\",\"max_attempts\":4,\"stretch\":2.0}],\"services\":[{\"name\":\""
                        + SERVICE
                        + "\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\","
                        + "\"tls\":false,\"enforces_capacity\":true,\"standby\":false}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        for (int i = 0; i < entries + agents; i++) {
            boolean entry = i < entries;
            int number = entry ? i : i - entries;
            String zone = ZONES[number % ZONES.length];
            String node =
                    (entry ? "edge-" : "side-") + zone + "-" + (number / ZONES.length + 1);
            String ip = net + (i + 1);
            mRoles.put(node, entry ? "entry" : "agent");
            mStore.serve(node, ip, port + 4);
            String listen;
            String extra = "";
            if (entry) {
                mEntries.add(node);
                mFront.put(node, ip + ":" + port);
                mReady.put(node, ip + ":" + (port + 1));
                listen =
                        String.format(
                                "{\"front\":\"%s:%d\",\"ready\":\"%s:%d\",\"control\":\"%s:%d\"}",
                                ip, port, ip, port + 1, ip, port + 2);
            } else {
                mAgents.add(node);
                listen = String.format("{\"control\":\"%s:%d\"}", ip, port + 2);
                extra =
                        String.format(
                                "\"app\":\"%s:%d\",\"service\":\"%s\",", ip, port + 3, SERVICE);
                Worker worker =
                        new Worker(
                                "i-" + String.format("%08x", 0x7f3a9100 + number),
                                SERVICE,
                                "r1-" + number / 3,
                                sizes,
                                mRecord,
                                note);
                worker.start(ip, port + 3, ip + ":" + (port + 2));
                mWorkers.add(worker);
            }
            Files.writeString(
                    settings(node), settingsText(node, entry, ip, zone, listen, extra, net, port));
        }
        for (String node : mRoles.keySet()) {
            launch(node);
        }
        awaitReady(mEntries, 40_000);
    }

    private static int freePorts(String net, int machines) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = 20_000 + ThreadLocalRandom.current().nextInt(10_000);
            boolean free = true;
            for (int i = 0; i < machines && free; i++) {
                for (int port = first; port < first + 8 && free; port++) {
                    try (ServerSocket socket =
                            new ServerSocket(port, 1, InetAddress.getByName(net + (i + 1)))) {
                        free = socket.isBound();
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private Path settings(String node) {
        return mFolder.resolve(node + ".json");
    }

    private static String settingsText(
            String node,
            boolean entry,
            String ip,
            String zone,
            String listen,
            String extra,
            String net,
            int port) {
        return String.format(
                "{\"node\":\"%s\",\"role\":\"%s\",\"machine_class\":\"%s\",\"serves\":%s,"
                        + "\"ip\":\"%s\",\"zone\":\"%s\",\"region\":\"nl-noord\","
                        + "\"zones\":{\"groningen\":\"nl-noord\",\"drenthe\":\"nl-noord\","
                        + "\"friesland\":\"nl-noord\",\"delfzijl\":\"nl-noord\"},\"listen\":%s,"
                        + "\"internal_ports\":[%d,%d],\"seeds\":[\"%s1:%d\",\"%s2:%d\"],"
                        + "\"bootstrap\":true,\"counts_as_loss\":false,\"limits\":{"
                        + "\"cpu_share\":%s,\"cores\":1,\"memory_mb\":%d,\"max_fds\":4100,"
                        + "\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,"
                        + "\"discovery\":\"local\",\"entry\":\"vip\",\"heartbeat_ms\":1500,"
                        + "\"orders\":\"invoke\",%s\"platform\":{\"address\":\"%s:%d\","
                        + "\"form\":\"log\",\"writes_per_s\":800,\"reads_per_s\":2000,"
                        + "\"parts\":24,\"append_ms\":1.0,\"partition_mb_s\":20.0,"
                        + "\"read_mb_s\":80.0,\"max_record_bytes\":262144,"
                        + "\"max_call_bytes\":2097152,\"keep_s\":300,\"max_partition_mb\":200,"
                        + "\"min_ttl_ms\":1000},\"bounds\":{\"stable_window_ms\":3000,"
                        + "\"ack_timeout_ms\":4000,\"drain_ms\":2000,\"grace_s\":6,"
                        + "\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"max_hold_ms\":10000,"
                        + "\"stop_grace_ms\":400,\"gang_timeout_ms\":3000,\"cancel_ms\":3000,"
                        + "\"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120,"
                        + "\"checkpoint_interval_s\":1,\"restore_ms\":600,\"pacing_ms\":100,"
                        + "\"impact_ms\":4000}}",
                node,
                entry ? "entry" : "agent",
                entry ? "edge" : "side",
                entry ? "[\"edge\",\"control\"]" : "[\"side\"]",
                ip,
                zone,
                listen,
                port + 5,
                port + 7,
                net,
                port + 2,
                net,
                port + 2,
                entry ? "0.75" : "0.45",
                entry ? 430 : 298,
                extra,
                ip,
                port + 4);
    }

    /** Starts a process as the platform does. */
    void launch(String node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(mCommands.get(mRoles.get(node)));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("HICKORYCLEAT_NODE_FILE", settings(node).toString());
        builder.directory(mRoot.toFile());
        builder.redirectErrorStream(true);
        File log = mFolder.resolve(node + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        synchronized (this) {
            mProcesses.put(node, builder.start());
        }
        mRecord.line("process %s is started", node);
    }

    /** Sends SIGKILL and waits for the end of the process. */
    void kill(String node) {
        Process process;
        synchronized (this) {
            process = mProcesses.get(node);
        }
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mRecord.line("process %s is killed", node);
    }

    boolean awaitReady(List<String> entries, long timeoutMs) {
        long untilMs = Clock.nowMs() + timeoutMs;
        for (String entry : entries) {
            while (Http.call("GET", mReady.get(entry), "/ready", "", "", 1_000).status() != 200) {
                if (Clock.nowMs() > untilMs) {
                    mRecord.line("%s is not ready", entry);
                    return false;
                }
                Clock.sleep(100);
            }
        }
        mRecord.line("ready: %s", entries);
        return true;
    }

    Http.Answer call(String entry, String method, String job, String body) {
        Http.Answer answer =
                Http.call(method, mFront.get(entry), PREFIX + job, HOST, body, CALL_MS);
        mRecord.line(
                "client: %s %s at %s -> %d %s",
                method, job, entry, answer.status(), answer.body().strip());
        return answer;
    }

    /** Hands a job in as a client does: a 429, a 503, a 504 or no answer is followed by a retry. */
    boolean submit(String job, String body) {
        for (int attempt = 0; attempt < 5; attempt++) {
            String entry = mEntries.get(attempt % mEntries.size());
            if (call(entry, "POST", job, body).status() == 200) {
                return true;
            }
            Clock.sleep(500);
        }
        return false;
    }

    boolean isCompleted(String job) {
        return call(mEntries.get(0), "GET", job, "").body().contains("completed");
    }

    boolean awaitCompleted(String job, long timeoutMs) {
        long untilMs = Clock.nowMs() + timeoutMs;
        while (!isCompleted(job)) {
            if (Clock.nowMs() > untilMs) {
                return false;
            }
            Clock.sleep(250);
        }
        return true;
    }

    /** Returns whether a minion runs a task of the job. */
    boolean isRunning(String job) {
        return mWorkers.stream()
                .anyMatch(
                        worker ->
                                worker.running().stream()
                                        .anyMatch(task -> task.startsWith(job + ".")));
    }

    int usedCpu() {
        return mWorkers.stream().mapToInt(Worker::usedCpu).sum();
    }

    int totalCpu() {
        return mWorkers.size() * Worker.capacity();
    }

    Path folder() {
        return mFolder;
    }

    @Override
    public synchronized void close() {
        mWorkers.forEach(Worker::close);
        mProcesses.values().forEach(Process::destroyForcibly);
        for (Process process : mProcesses.values()) {
            try {
                process.waitFor(3, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            File[] files = mFolder.toFile().listFiles();
            for (File file : files == null ? new File[0] : files) {
                file.delete();
            }
            mFolder.toFile().delete();
        }
    }
}
