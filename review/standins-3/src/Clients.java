import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Clients that hand jobs in, ask for their states and cancel them, each at any entry. */
final class Clients {
    static final String HOST = "jobs.example";
    private static final int ATTEMPTS = 5;
    private static final int DEADLINE_MS = 3_000;

    private final Servers mServers;
    private final List<InetSocketAddress> mFronts;
    private final HttpClient mHttpClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(1_000))
                    .build();
    private final ExecutorService mThreads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });
    private volatile boolean mStopped;

    Clients(Servers servers, List<InetSocketAddress> fronts) {
        mServers = servers;
        mFronts = fronts;
    }

    /** Sends a request; returns the status, or 0 without an answer, and the body. */
    private Object[] call(String method, Job job, String body) {
        InetSocketAddress front =
                mFronts.get(ThreadLocalRandom.current().nextInt(mFronts.size()));
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + front.getAddress().getHostAddress()
                                                + ":"
                                                + front.getPort()
                                                + job.mPrefix
                                                + job.mId))
                        .timeout(Duration.ofMillis(DEADLINE_MS))
                        .header("Host", HOST)
                        .header("Content-Type", "application/json")
                        .header("X-Hickorycleat-Deadline-Ms", Integer.toString(DEADLINE_MS))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    mHttpClient.send(request, HttpResponse.BodyHandlers.ofString());
            return new Object[] {response.statusCode(), response.body()};
        } catch (IOException e) {
            return new Object[] {0, ""};
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Object[] {0, ""};
        }
    }

    void submit(Job job) {
        mServers.mJobs.put(job.mId, job);
        mThreads.execute(() -> handIn(job));
    }

    private void handIn(Job job) {
        for (int i = 0; i < ATTEMPTS && !mStopped; i++) {
            long sentMs = mServers.mRecord.nowMs();
            int status = (Integer) call("POST", job, job.body())[0];
            job.mAttempts++;
            mServers.mRecord.line(
                    "POST " + job.mId + " sent " + sentMs + " ms, answered " + status);
            if (status >= 200 && status < 300) {
                job.mAcceptedMs = mServers.mRecord.nowMs();
                watch(job);
                return;
            }
            if (status == 429 || status == 503) {
                job.mRejections++;
            }
            sleep(status == 429 ? 2_000 : 300);
        }
    }

    /** Sends the request of an accepted job once more. */
    void repeatLater(Job job, long delayMs) {
        mThreads.execute(
                () -> {
                    sleep(delayMs);
                    if (job.mAcceptedMs >= 0 && !mStopped) {
                        int status = (Integer) call("POST", job, job.body())[0];
                        mServers.mRecord.line("POST again " + job.mId + " answered " + status);
                    }
                });
    }

    private void watch(Job job) {
        while (!mStopped) {
            ask(job);
            sleep(700);
        }
    }

    private void ask(Job job) {
        long sentMs = mServers.mRecord.nowMs();
        Object[] answer = call("GET", job, "");
        int status = (Integer) answer[0];
        if (status == 410) {
            job.onState(mServers.mRecord.nowMs(), "410");
            if (sentMs > job.mAcceptedMs + 3_000 && job.mCancelSentMs < 0) {
                mServers.violation("LOST", job.mId + " was accepted and is answered with 410");
            }
        } else if (status == 200) {
            String state = Json.text(Json.object((String) answer[1]), "state");
            String before = job.lastState();
            job.onState(mServers.mRecord.nowMs(), state);
            if (!before.equals(state)) {
                mServers.mRecord.line("GET " + job.mId + " " + state);
            }
        }
    }

    /** Cancels a job until that is acknowledged. */
    void cancel(Job job) {
        mThreads.execute(
                () -> {
                    job.mCancelSentMs = mServers.mRecord.nowMs();
                    for (int i = 0; i < 20 && !mStopped; i++) {
                        int status = (Integer) call("DELETE", job, "")[0];
                        mServers.mRecord.line("DELETE " + job.mId + " answered " + status);
                        if (status >= 200 && status < 300 || status == 410) {
                            job.mCancelAckMs = mServers.mRecord.nowMs();
                            return;
                        }
                        sleep(300);
                    }
                });
    }

    static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void stop() {
        mStopped = true;
    }
}
