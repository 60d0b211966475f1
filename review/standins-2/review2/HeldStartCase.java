package review2;

import java.nio.file.Path;

/**
 * The link between one agent and the entry is cut off for 1.5 s. As TCP retransmits at
 * growing intervals (0.2, 0.6, 1.4 and 3.0 s after the first transmission), what was sent on it
 * arrives 3.0 s after the start of the cut; new connections work from its end on. The processes open
 * none before. What the agent had sent arrives 0.2 s later, since it was first sent later.
 */
public final class HeldStartCase {
    private static final int AGENTS = 3;
    private static final int JOBS_PER_S = 6;
    private static final int CALM_MS = 6_000;
    private static final int RETRANSMITTED_MS = 3_000;
    private static final int AGENT_LATER_MS = 200;
    private static final int FINISH_MS = 5_000;

    private HeldStartCase() {}

    public static void main(String[] arguments) throws Exception {
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
        System.setProperty("sun.net.http.retryPost", "false");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet fleet =
                new Fleet(
                        Path.of(arguments[0]),
                        1,
                        AGENTS,
                        16_000,
                        true,
                        Configurations.oneQueue(4),
                        true)) {
            result = run(fleet, trouble);
            fleet.mRecord.note("result " + result);
        } catch (RuntimeException | java.io.IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Fleet fleet, boolean trouble) {
        fleet.awaitReady(1, 20_000);
        Fleet.sleep(3_000);
        Thread clients = Fleet.daemonThread(() -> handIn(fleet));
        clients.start();
        Fleet.sleep(CALM_MS);
        if (trouble) {
            fleet.mRecord.note("link of side-north-0: cut begins");
            fleet.mProxy.orElseThrow().hold();
        }
        Fleet.sleep(RETRANSMITTED_MS);
        if (trouble) {
            fleet.mRecord.note("link of side-north-0: retransmitted");
            fleet.mProxy.orElseThrow().releaseFromTarget();
            Fleet.sleep(AGENT_LATER_MS);
            fleet.mProxy.orElseThrow().releaseToTarget();
        }
        Fleet.sleep(FINISH_MS);
        fleet.mRecord.note("starts that broke TWICE: " + fleet.mRecord.twice());
        return fleet.mRecord.twice() > 0 ? 1 : 0;
    }

    private static void handIn(Fleet fleet) {
        String body =
                Configurations.job(
                        1_000, 2_400, "{\"count\":6,\"cpu\":240,\"mem_mb\":480,\"estimate_ms\":2400}");
        long endMs = Fleet.nowMs() + CALM_MS + RETRANSMITTED_MS;
        for (int number = 0; Fleet.nowMs() < endMs; number++) {
            String id = String.format("%016x", 0xc000_0000_0000L + number);
            Fleet.daemonThread(
                            () ->
                                    fleet.mRecord.note(
                                            "client POST "
                                                    + id
                                                    + ": "
                                                    + fleet.client(0, "POST", id, body).status()))
                    .start();
            Fleet.sleep(1_000 / JOBS_PER_S);
        }
    }
}
