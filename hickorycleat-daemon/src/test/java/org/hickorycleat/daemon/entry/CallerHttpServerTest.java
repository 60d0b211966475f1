package org.hickorycleat.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.hickorycleat.logic.retry.CallerRequest;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RequestId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ServiceSpecification;
import org.hickorycleat.model.manifest.TeamSpecification;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.message.InvokeResult;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.result.ResultCode;
import org.hickorycleat.model.task.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallerHttpServerTest {
    private final Queue<CallerRequest> mRequests = new ConcurrentLinkedQueue<>();
    private final Queue<CompletableFuture<InvokeResult>> mResults = new ConcurrentLinkedQueue<>();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final InetSocketAddress mAddress = freeAddress();
    private final CallerHttpServer mServer =
            new CallerHttpServer(
                    () -> Optional.of(manifest()), this::serve, new SimpleMeterRegistry());
    private boolean mRespondsImmediately = true;

    @BeforeEach
    void start() {
        mServer.start(mAddress);
    }

    @AfterEach
    void stop() {
        mServer.close();
    }

    /** Guards against invalid headers being ignored or forwarded. */
    @ParameterizedTest
    @CsvSource({
        "Hickorycleat-Criticality, vital, INVALID_CRITICALITY",
        "Hickorycleat-Deadline-Ms, 0, INVALID_DEADLINE",
        "Hickorycleat-Deadline-Ms, 600001, INVALID_DEADLINE",
        "Hickorycleat-Deadline-Ms, soon, INVALID_DEADLINE",
        "Hickorycleat-Deadline-Ms, 99999999999999999999, INVALID_DEADLINE",
        "Hickorycleat-Team, nobody, UNKNOWN_TEAM",
        "Hickorycleat-Idempotent, perhaps, MALFORMED_REQUEST",
        "Idempotency-Key, two words, INVALID_IDEMPOTENCY_KEY",
    })
    void rejectsInvalidHeadersWithoutRunning(String header, String value, ResultCode code)
            throws Exception {
        HttpResponse<String> response =
                send(request("/services/booking/x").header(header, value).build());

        assertThat(response.statusCode()).isEqualTo(code.httpStatus());
        assertThat(response.headers().firstValue("Hickorycleat-Result-Code"))
                .contains(Integer.toString(code.number()));
        assertThat(response.headers().firstValue("Hickorycleat-Outcome")).contains("not-run");
        assertThat(mRequests).isEmpty();
    }

    /**
     * Guards against a rejected retry being reported as not run although a previous attempt ran
     * through an entry that failed.
     */
    @Test
    void rejectedRequestWithIdempotencyKeyHasUnknownOutcome() throws Exception {
        mServer.drain();

        HttpResponse<String> keyed =
                send(request("/services/booking/x").header("Idempotency-Key", "k-1").build());
        HttpResponse<String> plain = send(request("/services/booking/x").build());

        assertThat(keyed.statusCode()).isEqualTo(503);
        assertThat(keyed.headers().firstValue("Hickorycleat-Outcome")).contains("unknown");
        assertThat(plain.headers().firstValue("Hickorycleat-Outcome")).contains("not-run");
    }

    /** Guards against a request body exhausting the memory of the entry. */
    @Test
    void rejectsOversizedBodies() throws Exception {
        HttpResponse<String> response =
                send(
                        request("/services/booking/x")
                                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[600 << 10]))
                                .build());

        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(mRequests).isEmpty();
    }

    /** Guards against accepting a request for a service that is not in the manifest. */
    @Test
    void rejectsUnknownServices() throws Exception {
        HttpResponse<String> response = send(request("/services/other/x").build());

        assertThat(response.statusCode()).isEqualTo(404);
        assertThat(response.body()).contains("UNKNOWN_SERVICE");
    }

    /** Guards against losing parts of a request or its response while forwarding. */
    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        HttpResponse<String> response =
                send(
                        request("/services/booking/a/b%20c?d=e&f=g")
                                .header("Idempotency-Key", "k-1")
                                .header("Hickorycleat-Deadline-Ms", "1500")
                                .header("Custom", "value")
                                .POST(HttpRequest.BodyPublishers.ofString("body"))
                                .build());

        CallerRequest request = mRequests.remove();
        assertThat(request.path()).isEqualTo("/a/b%20c?d=e&f=g");
        assertThat(request.method()).isEqualTo("POST");
        assertThat(new String(request.body(), StandardCharsets.UTF_8)).isEqualTo("body");
        assertThat(request.remainingMs()).isEqualTo(1500);
        assertThat(request.idempotent()).isFalse();
        assertThat(request.idempotencyKey().orElseThrow().value()).isEqualTo("k-1");
        assertThat(request.headers()).extracting(HttpHeader::value).contains("value");
        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(response.body()).isEqualTo("answer");
        assertThat(response.headers().firstValue("Hickorycleat-Outcome")).contains("done");
        assertThat(response.headers().allValues("Content-Type")).containsExactly("text/special");
    }

    /** Guards against a slot remaining occupied after its caller disconnected. */
    @Test
    void cancelsRequestsOfDisconnectedCallers() throws Exception {
        mRespondsImmediately = false;
        try (Socket socket = new Socket(mAddress.getAddress(), mAddress.getPort())) {
            socket.getOutputStream()
                    .write(
                            "GET /services/booking/x HTTP/1.1\r\nHost: a\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            await().until(() -> mResults.size() == 1);
            mServer.cancelDisconnectedRequests();
            assertThat(mResults.element().isCancelled()).isFalse();
        }

        await().until(
                        () -> {
                            mServer.cancelDisconnectedRequests();
                            return mResults.element().isCancelled();
                        });
        await().until(() -> mServer.requestsInProgress() == 0);
    }

    private CompletableFuture<InvokeResult> serve(CallerRequest request) {
        mRequests.add(request);
        CompletableFuture<InvokeResult> result =
                mRespondsImmediately
                        ? CompletableFuture.completedFuture(newResult())
                        : new CompletableFuture<>();
        mResults.add(result);
        return result;
    }

    private static InvokeResult newResult() {
        return new InvokeResult(
                new RequestId(new ProcessId("entry-1"), new Incarnation(1), 1),
                ResultCode.OK,
                201,
                List.of(new HttpHeader("Content-Type", "text/special")),
                "answer".getBytes(StandardCharsets.UTF_8),
                new LoadSignal(0, 0, 0));
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mAddress.getPort() + path));
    }

    private HttpResponse<String> send(HttpRequest request) throws Exception {
        return mClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static Manifest manifest() {
        TeamName team = new TeamName("desk");
        return new Manifest(
                new ConfigurationVersion(-1),
                1,
                List.of(
                        new ServiceSpecification(
                                new ServiceName("booking"),
                                team,
                                Criticality.CRITICAL,
                                3,
                                8,
                                64,
                                50,
                                List.of(),
                                Set.of("GET"))),
                List.of(),
                List.of(new TeamSpecification(team, 1, Resources.NONE)));
    }

    private static InetSocketAddress freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
