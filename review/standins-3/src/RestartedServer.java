import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A server restarts under its id, takes a start that was meant for before, and is cut off. */
final class RestartedServer {
    private static final int SERVER_CPU = 16_000;
    private static final long DOWN_MS = 150;
    private static final long FIRST_BEAT_MS = 100;
    private static final long CUT_MS = 9_000;
    private static final int STRIKES = 4;
    private static final int TASK_MS = 14_000;

    private RestartedServer() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !arguments[0].equals("0");
        int status = 2;
        try (Scene scene = new Scene(Path.of(arguments[1]), 2, 3, SERVER_CPU)) {
            scene.start();
            status = run(scene, trouble);
        } catch (Exception e) {
            // Without this, the runtime exits with 1, which means that the rule was broken.
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Scene scene, boolean trouble) throws Exception {
        Thread clients = new Thread(() -> sendJobs(scene));
        clients.setDaemon(true);
        clients.start();
        Clients.sleep(5_000);
        for (int i = 0; i < STRIKES; i++) {
            if (trouble) {
                strike(scene, scene.mServers.mServers.get(i % 3));
            } else {
                Clients.sleep(CUT_MS);
            }
            Clients.sleep(7_000);
        }
        new Checker(scene.mServers, Scene.MAXIMUM_ATTEMPTS).checkRuns();
        System.out.println("runs " + scene.mServers.mRuns.size());
        if (scene.mServers.mRuns.isEmpty()) {
            return 2;
        }
        scene.mServers.mViolations.forEach(System.out::println);
        return scene.mServers.mViolations.isEmpty() ? 0 : 1;
    }

    private static void strike(Scene scene, Server server) throws Exception {
        server.crash();
        Clients.sleep(DOWN_MS);
        CountDownLatch started = new CountDownLatch(1);
        server.setOnStart(started::countDown);
        Thread restart = new Thread(() -> server.restart(FIRST_BEAT_MS));
        restart.start();
        boolean before = started.await(FIRST_BEAT_MS, TimeUnit.MILLISECONDS);
        Clients.sleep(before ? 5 : 0);
        server.setCut(true);
        Clients.sleep(CUT_MS);
        server.setCut(false);
        server.setOnStart(() -> {});
    }

    private static void sendJobs(Scene scene) {
        for (long number = 1; ; number++) {
            scene.mClients.submit(Scene.job(number, 2, 50, 50, TASK_MS));
            Clients.sleep(50);
        }
    }
}
