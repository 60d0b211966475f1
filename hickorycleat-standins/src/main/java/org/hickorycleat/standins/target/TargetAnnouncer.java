package org.hickorycleat.standins.target;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Announces the target to the agent on its VM, again and again. */
final class TargetAnnouncer {
    private static final long PERIOD_MS = 500;
    private static final MediaType JSON = MediaType.get("application/json");

    private final OkHttpClient mClient =
            new OkHttpClient.Builder().callTimeout(1, TimeUnit.SECONDS).build();
    private final String mAgent;
    private final ObjectNode mBody;
    private final BooleanSupplier mLeaving;

    TargetAnnouncer(
            String agent,
            String service,
            int instance,
            int port,
            int slots,
            int connections,
            BooleanSupplier leaving) {
        mAgent = agent;
        mLeaving = leaving;
        mBody = new ObjectMapper().createObjectNode();
        mBody.put("service", service);
        mBody.put("instance", instance);
        mBody.put("port", port);
        mBody.put("slots", slots);
        mBody.put("connections", connections);
    }

    void start(ScheduledExecutorService timer) {
        var unused =
                timer.scheduleWithFixedDelay(this::announce, 0, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void announce() {
        ObjectNode body = mBody.deepCopy();
        body.put("state", mLeaving.getAsBoolean() ? "leaving" : "ready");
        Request request =
                new Request.Builder()
                        .url("http://" + mAgent + "/v1/announcement")
                        .put(RequestBody.create(body.toString(), JSON))
                        .build();
        try (Response response = mClient.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                System.err.println("event=announcement_refused status=" + response.code());
            }
        } catch (IOException e) {
            // The agent may be down; the next announcement tries again.
            System.err.println("event=announcement_failed cause=\"" + e + '"');
        }
    }
}
