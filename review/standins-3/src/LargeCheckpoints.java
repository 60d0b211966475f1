import java.nio.file.Path;

/** One large job whose tasks have long checkpoints, and some small jobs after it. */
final class LargeCheckpoints {
    private static final int SERVERS = 3;
    private static final int SERVER_CPU = 16_000;
    private static final int TASK_CPU = 50;
    private static final int TASKS = SERVERS * SERVER_CPU / TASK_CPU;
    private static final int TASK_MS = 9_000;
    private static final int LONG_CHECKPOINT = 3_400;
    private static final long FINISH_MS = 14_000;

    private LargeCheckpoints() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !arguments[0].equals("0");
        int status = 2;
        try (Scene scene = new Scene(Path.of(arguments[1]), 2, SERVERS, SERVER_CPU)) {
            scene.start();
            status = run(scene, trouble);
        } catch (Exception e) {
            // Without this, the runtime exits with 1, which means that the rule was broken.
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int run(Scene scene, boolean trouble) {
        Job first = Scene.job(1, 6, 240, 100, 900);
        scene.mClients.submit(first);
        for (int i = 0; i < 100 && !Scene.isCompleted(first); i++) {
            Clients.sleep(100);
        }
        if (!Scene.isCompleted(first)) {
            System.out.println("the first job was not completed: the case can't run");
            return 2;
        }
        Job large = Scene.job(2, TASKS, TASK_CPU, 100, TASK_MS);
        large.mSteps.get(0).mSaves = true;
        large.mSteps.get(0).mCheckpointLength = trouble ? LONG_CHECKPOINT : 16;
        scene.mClients.submit(large);
        Clients.sleep(5_000);
        for (int i = 0; i < 5; i++) {
            scene.mClients.submit(Scene.job(100 + i, 6, 240, 100, 900));
            Clients.sleep(200);
        }
        scene.mRecord.line("the traffic has ended");
        Clients.sleep(FINISH_MS);
        scene.watchForWaitingJobs(10_000);
        for (Job job : scene.mServers.mJobs.values()) {
            String line =
                    "job " + job.mId + " accepted " + job.mAcceptedMs + " ms: " + job.lastState();
            scene.mRecord.line(line);
            System.out.println(line);
        }
        scene.mServers.mViolations.forEach(System.out::println);
        return scene.mServers.mViolations.isEmpty() ? 0 : 1;
    }
}
