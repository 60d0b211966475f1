package review;

import java.nio.file.Path;
import java.util.Random;

/** A case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Random mRandom = new Random(System.nanoTime());
    Record mRecord;
    Fleet mFleet;

    abstract int run() throws Exception;

    String newJob() {
        return String.format("%016x", mRandom.nextLong());
    }

    /** Returns a job with one step. */
    static String job(String spec, int count, int cpu, int estimateMs, String more) {
        return String.format(
                "{\"task_spec\":\"%s\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":%d,"
                        + "\"estimate_ms\":%d%s}]}",
                spec.replace("\"", "\\\""), count, cpu, Math.max(1, cpu * 2), estimateMs, more);
    }

    static String spec(long runMs, int failingRuns) {
        return "{\"run_ms\":" + runMs + ",\"failing_runs\":" + failingRuns + "}";
    }

    int notRun(String reason) {
        mRecord.line("the case could not run: %s", reason);
        return NOT_RUN;
    }

    public static void main(String[] arguments) throws Exception {
        Case instance =
                (Case) Class.forName("review." + arguments[0]).getDeclaredConstructor().newInstance();
        instance.mRecord = new Record(Path.of(arguments[1]).resolve("record.txt"));
        int result;
        try {
            instance.mFleet = new Fleet(instance.mRecord);
            instance.mRecord.line("trouble: %s", instance.mTrouble);
            result = instance.run();
        } catch (Exception e) {
            result = instance.notRun(String.valueOf(e));
        }
        instance.mRecord.line(
                "result %d (%s)",
                result, result == HELD ? "held" : result == BROKEN ? "broken" : "not run");
        if (instance.mFleet != null) {
            instance.mFleet.close();
        }
        System.out.println("result " + result);
        Runtime.getRuntime().halt(result);
    }
}
