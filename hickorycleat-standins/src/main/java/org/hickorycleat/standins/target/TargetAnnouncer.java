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

/** Announces the target periodically to the agent on its VM. */
final class TargetAnnouncer {
    private static final long ANNOUNCEMENT_INTERVAL_MS = 500;
    private static final MediaType JSON = MediaType.get("application/json");

    private final OkHttpClient mClient =
            new OkHttpClient.Builder().callTimeout(1, TimeUnit.SECONDS).build();
    private final String mAgentAddress;
    private final ObjectNode mBody;
    private final BooleanSupplier mLeaving;

    TargetAnnouncer(
            String agentAddress,
            String service,
            int instance,
            int port,
            int slots,
            int connections,
            BooleanSupplier leaving) {
        mAgentAddress = agentAddress;
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
                timer.scheduleWithFixedDelay(
                        this::announce, 0, ANNOUNCEMENT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void announce() {
        ObjectNode body = mBody.deepCopy();
        body.put("state", mLeaving.getAsBoolean() ? "leaving" : "ready");
        Request request =
                new Request.Builder()
                        .url("http://" + mAgentAddress + "/v1/announcement")
                        .put(RequestBody.create(body.toString(), JSON))
                        .build();
        try (Response response = mClient.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                System.err.println("event=announcement_refused status=" + response.code());
            }
        } catch (IOException e) {
            // The agent may be unavailable; the next announcement is the retry.
            System.err.println("event=announcement_failed cause=\"" + e + '"');
        }
    }
}
