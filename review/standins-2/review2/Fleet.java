package review2;

import com.sun.net.httpserver.HttpExchange;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Starts entries and agents with the commands of the deploy file, and the stand-ins around them.
 * Each process has a loopback address of its own.
 */
final class Fleet implements AutoCloseable {
    /** A process of the project. */
    static final class Node {
        private final String mName;
        private final String mRole;
        private final Path mSettings;
        private final Path mLog;
        private Process mProcess;

        private Node(String name, String role, Path settings, Path log) {
            mName = name;
            mRole = role;
            mSettings = settings;
            mLog = log;
        }

        String name() {
            return mName;
        }

        long pid() {
            return mProcess.pid();
        }

        boolean isAlive() {
            return mProcess.isAlive();
        }

        Path log() {
            return mLog;
        }
    }

    final Record mRecord;
    final Store mStore;
    final List<Node> mEntries = new ArrayList<>();
    final List<Node> mAgents = new ArrayList<>();
    final List<Worker> mWorkers = new ArrayList<>();
    private final Path mRoot = Path.of("").toAbsolutePath();
    private final Path mDirectory;
    private final int mFront;
    private final int mReady;
    private volatile boolean mClosed;

    /** Address at which the first agent reaches the first entry, if not at its own one. */
    private static final String PROXY_HOST = "127.0.0.90";

    final Optional<LinkProxy> mProxy;

    Fleet(Path record, int entries, int agents, int cpu, boolean listStarts, String configuration)
            throws Exception {
        this(record, entries, agents, cpu, listStarts, configuration, false);
    }

    Fleet(
            Path record,
            int entries,
            int agents,
            int cpu,
            boolean listStarts,
            String configuration,
            boolean proxied)
            throws Exception {
        mDirectory = Files.createTempDirectory("review2-");
        mRecord = new Record(record);
        int storePort = freePort();
        mFront = freePort();
        mReady = freePort();
        int control = freePort();
        int links = freePort();
        int app = freePort();
        mStore = new Store(new InetSocketAddress("127.0.0.1", storePort));
        mStore.put("keyed.op", "config", configuration);
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < Math.min(3, entries); i++) {
            seeds.append(i == 0 ? "" : ",").append("\"127.0.0." + (20 + i) + ":" + control + "\"");
        }
        mProxy =
                proxied
                        ? Optional.of(
                                new LinkProxy(
                                        new InetSocketAddress(PROXY_HOST, links),
                                        new InetSocketAddress("127.0.0.20", links)))
                        : Optional.empty();
        for (int i = 0; i < entries + agents; i++) {
            boolean entry = i < entries;
            String ownSeeds =
                    proxied && i == entries
                            ? "\"" + PROXY_HOST + ":" + control + "\""
                            : seeds.toString();
            String ip = "127.0.0." + (20 + i);
            String name = (entry ? "edge-north-" : "side-north-") + (entry ? i : i - entries);
            String worker = "";
            if (!entry) {
                InetSocketAddress address = new InetSocketAddress(ip, app);
                Worker standIn =
                        new Worker("i-" + (i - entries), address, cpu, mRecord, listStarts);
                mWorkers.add(standIn);
                worker = "\"app\":\"" + ip + ":" + app + "\",\"service\":\"booking\",";
                startHeartbeats(standIn, "i-" + (i - entries), ip + ":" + control);
            }
            String listen =
                    entry
                            ? "{\"front\":\"" + ip + ":" + mFront + "\",\"ready\":\"" + ip + ":"
                                    + mReady + "\",\"control\":\"" + ip + ":" + control + "\"}"
                            : "{\"control\":\"" + ip + ":" + control + "\"}";
            String settings =
                    "{\"node\":\"" + name + "\",\"role\":\"" + (entry ? "entry" : "agent")
                            + "\",\"machine_class\":\"" + (entry ? "edge" : "side")
                            + "\",\"ip\":\"" + ip
                            + "\",\"zone\":\"north\",\"region\":\"one\",\"zones\":{\"north\":\"one\"},"
                            + worker + "\"listen\":" + listen + ",\"internal_ports\":[" + links
                            + "," + (links + 15) + "],\"seeds\":[" + ownSeeds
                            + "],\"bootstrap\":true,\"limits\":{\"cpu_share\":"
                            + (entry ? "0.75" : "0.45")
                            + ",\"cores\":1,\"memory_mb\":430,\"max_fds\":4100,\"link_mbps\":1000.0},"
                            + "\"heartbeat_ms\":1500,\"orders\":\"invoke\",\"bounds\":{"
                            + "\"max_hold_ms\":10000,\"stop_grace_ms\":400,"
                            + "\"gang_timeout_ms\":3000,\"checkpoint_interval_s\":1,"
                            + "\"status_s\":120,\"impact_ms\":4000},\"platform\":{\"address\":"
                            + "\"127.0.0.1:" + storePort
                            + "\",\"form\":\"log\",\"max_record_bytes\":262144,"
                            + "\"max_call_bytes\":2097152}}";
            Path file = mDirectory.resolve(name + ".json");
            Files.writeString(file, settings);
            Node node =
                    new Node(
                            name,
                            entry ? "entry" : "agent",
                            file,
                            mDirectory.resolve(name + ".log"));
            (entry ? mEntries : mAgents).add(node);
            start(node);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread workers = daemonThread(this::advanceWorkers);
        workers.start();
    }

    private void advanceWorkers() {
        while (!mClosed) {
            mWorkers.forEach(Worker::advance);
            sleep(5);
        }
    }

    private void startHeartbeats(Worker worker, String id, String control) {
        Thread thread =
                daemonThread(
                        () -> {
                            while (!mClosed) {
                                call(
                                        "POST",
                                        "http://" + control + "/instances/" + id + "/heartbeat",
                                        worker.heartbeat(),
                                        1_000);
                                sleep(500);
                            }
                        });
        thread.start();
    }

    /** Starts a process with the run command of its role in deploy/system.toml. */
    void start(Node node) throws IOException {
        List<String> command = new ArrayList<>(List.of(runCommand(node.mRole).split(" +")));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(mRoot.toFile());
        builder.environment().put("HICKORYCLEAT_NODE_FILE", node.mSettings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(node.mLog.toFile()));
        node.mProcess = builder.start();
        mRecord.note("process " + node.mName + " started");
    }

    private String runCommand(String role) throws IOException {
        boolean inRole = false;
        try (BufferedReader reader = Files.newBufferedReader(mRoot.resolve("deploy/system.toml"))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.startsWith("[")) {
                    inRole = line.equals("[roles." + role + "]");
                } else if (inRole && line.startsWith("run = ")) {
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
        }
        throw new IOException("no run command of " + role);
    }

    /** Sends a signal to a process of the fleet. */
    void signal(Node node, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(node.pid())).start().waitFor();
        mRecord.note("process " + node.mName + " signal " + signal);
    }

    void awaitReady(int count, long timeoutMs) {
        long untilMs = nowMs() + timeoutMs;
        while (nowMs() < untilMs) {
            int ready = 0;
            for (int i = 0; i < mEntries.size(); i++) {
                ready += call("GET", "http://127.0.0." + (20 + i) + ":" + mReady + "/ready", null, 500)
                                        .status()
                                == 200
                        ? 1
                        : 0;
            }
            if (ready >= count) {
                return;
            }
            sleep(100);
        }
        throw new IllegalStateException("the entries are not ready");
    }

    boolean isReady(int entry) {
        return call("GET", "http://127.0.0." + (20 + entry) + ":" + mReady + "/ready", null, 1_000)
                        .status()
                == 200;
    }

    Answer client(int entry, String method, String job, String body) {
        return call(
                method, "http://127.0.0." + (20 + entry) + ":" + mFront + "/jobs/" + job, body, 3_000);
    }

    record Answer(int status, String body) {}

    /** Makes a call; status 0 stands for no answer. */
    static Answer call(String method, String url, String body, int timeoutMs) {
        try {
            HttpURLConnection connection = (HttpURLConnection) new URL(url).openConnection();
            connection.setRequestMethod(method);
            connection.setRequestProperty("Host", "h.example");
            connection.setConnectTimeout(timeoutMs);
            connection.setReadTimeout(timeoutMs);
            connection.setRequestProperty("X-Hickorycleat-Deadline-Ms", Integer.toString(timeoutMs));
            if (body != null) {
                connection.setDoOutput(true);
                connection.setRequestProperty("Content-Type", "application/json");
                try (OutputStream out = connection.getOutputStream()) {
                    out.write(body.getBytes(StandardCharsets.UTF_8));
                }
            }
            int status = connection.getResponseCode();
            InputStream in =
                    status >= 400 ? connection.getErrorStream() : connection.getInputStream();
            String text =
                    in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return new Answer(status, text);
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }

    static void respond(HttpExchange exchange, int status, String text) throws IOException {
        respond(exchange, status, text.getBytes(StandardCharsets.UTF_8));
    }

    static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        try (exchange) {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            if (body.length > 0) {
                exchange.getResponseBody().write(body);
            }
        }
    }

    static Thread daemonThread(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        return thread;
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Counts the lines of the logs of a process that contain a text. */
    long logLines(Node node, String text) throws IOException {
        try (Stream<String> lines = Files.lines(node.mLog, StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    private void endProcesses() {
        for (List<Node> nodes : List.of(mEntries, mAgents)) {
            for (Node node : nodes) {
                node.mProcess.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        mClosed = true;
        endProcesses();
        if (System.getenv("KEEP") != null) {
            return;
        }
        for (List<Node> nodes : List.of(mEntries, mAgents)) {
            for (Node node : nodes) {
                try {
                    node.mProcess.waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (Stream<Path> files = Files.walk(mDirectory)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
