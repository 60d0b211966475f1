package review;

/** The steady clock, in milliseconds. */
final class Clock {
    private Clock() {}

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
