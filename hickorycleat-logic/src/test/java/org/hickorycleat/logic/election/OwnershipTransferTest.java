package org.hickorycleat.logic.election;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.FleetNode;
import org.hickorycleat.model.message.ProcessRole;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OwnershipTransferTest {
    private static final long CAPACITY_MILLI = 200;
    private static final long TICK_MS = 200;
    private static final FleetNode LARGE = peer("large-1", 1_500, 1);
    private static final FleetNode OTHER_LARGE = peer("large-2", 1_400, 1);

    private final TestScheduler mScheduler = new TestScheduler();
    private final OwnershipTransfer mTransfer = new OwnershipTransfer(CAPACITY_MILLI);

    @BeforeEach
    void startOwnership() {
        mScheduler.advanceTimeBy(1, TimeUnit.HOURS);
        mTransfer.onOwnershipStarted(nowMs());
    }

    private static FleetNode peer(String process, long capacityMilli, long startedAtMs) {
        return new FleetNode(
                new ProcessId(process),
                ProcessRole.ENTRY,
                new ZoneId("north"),
                "10.0.0.1",
                7_720,
                capacityMilli,
                startedAtMs);
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }

    private Optional<ProcessId> tick(FleetNode... eligible) {
        mScheduler.advanceTimeBy(TICK_MS, TimeUnit.MILLISECONDS);
        return mTransfer.startIfDue(List.of(eligible), nowMs());
    }

    /** Ticks for a time; returns the successor of the first attempt within it. */
    private Optional<ProcessId> run(long durationMs, FleetNode... eligible) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
            Optional<ProcessId> successor = tick(eligible);
            if (successor.isPresent()) {
                return successor;
            }
        }
        return Optional.empty();
    }

    private void failAttempt() {
        mScheduler.advanceTimeBy(1_500, TimeUnit.MILLISECONDS);
        assertThat(mTransfer.abandonIfTimedOut(nowMs())).isTrue();
    }

    @Test
    void transfersToLargestPeerThatIsStable() {
        assertThat(run(5_000, peer("small", 200, 1), OTHER_LARGE, LARGE)).contains(LARGE.process());
        assertThat(mTransfer.isInProgress()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 200, 399})
    void neverTransfersToPeerWithoutClearlyMoreCapacity(long capacityMilli) {
        assertThat(run(120_000, peer("peer", capacityMilli, 1))).isEmpty();
    }

    @Test
    void waitsUntilOwnerIsStable() {
        assertThat(run(2_800, LARGE)).isEmpty();
        mTransfer.onOwnershipStarted(nowMs());

        assertThat(run(2_800, LARGE)).isEmpty();
        assertThat(run(400, LARGE)).contains(LARGE.process());
    }

    @Test
    void waitsUntilPeerIsStable() {
        assertThat(run(10_000)).isEmpty();
        assertThat(run(2_800, LARGE)).isEmpty();
        assertThat(tick()).isEmpty();

        assertThat(run(3_000, LARGE)).isEmpty();
        assertThat(tick(LARGE)).contains(LARGE.process());
    }

    @Test
    void waitsUntilRestartedPeerIsStable() {
        assertThat(run(2_800, LARGE)).isEmpty();

        assertThat(run(3_000, peer("large-1", 1_500, 2))).isEmpty();
    }

    @Test
    void startsNoSecondAttemptWhileOneIsInProgress() {
        assertThat(run(5_000, LARGE)).isPresent();

        assertThat(run(1_200, LARGE, OTHER_LARGE)).isEmpty();
        assertThat(mTransfer.abandonIfTimedOut(nowMs())).isFalse();
    }

    @Test
    void abandonsAttemptOnceWhenPeerDoesNotTakeOver() {
        assertThat(run(5_000, LARGE)).isPresent();
        failAttempt();

        assertThat(mTransfer.isInProgress()).isFalse();
        assertThat(mTransfer.abandonIfTimedOut(nowMs())).isFalse();
    }

    @Test
    void waitsLongerAfterEachFailure() {
        assertThat(run(5_000, LARGE)).isPresent();
        failAttempt();
        assertThat(run(4_800, LARGE)).isEmpty();
        assertThat(run(400, LARGE)).isPresent();
        failAttempt();

        assertThat(run(9_800, LARGE)).isEmpty();
        assertThat(run(400, LARGE)).isPresent();
    }

    @Test
    void triesAnotherPeerAfterFailure() {
        assertThat(run(5_000, LARGE, OTHER_LARGE)).contains(LARGE.process());
        failAttempt();

        assertThat(run(6_000, LARGE, OTHER_LARGE)).contains(OTHER_LARGE.process());
    }

    @Test
    void waitsWhenSuccessorLosesOwnershipAtOnce() {
        assertThat(run(5_000, LARGE)).isPresent();
        mTransfer.onOwnershipStarted(nowMs());

        assertThat(mTransfer.isInProgress()).isFalse();
        assertThat(run(4_800, LARGE)).isEmpty();
        assertThat(run(400, LARGE)).isPresent();
    }

    /** Guards against a loop that waits for ever for decisions of an owner that was succeeded. */
    @Test
    void endsAttemptWhenOwnershipEnds() {
        assertThat(run(5_000, LARGE)).isPresent();

        mTransfer.onOwnershipEnded();

        assertThat(mTransfer.isInProgress()).isFalse();
    }

    @Test
    void waitsWhenSuccessorLosesOwnershipAfterAttemptHasEnded() {
        assertThat(run(5_000, LARGE)).isPresent();
        mTransfer.onOwnershipEnded();
        mTransfer.onOwnershipStarted(nowMs());

        assertThat(run(4_800, LARGE)).isEmpty();
        assertThat(run(400, LARGE)).isPresent();
    }

    /** Guards against an owner under load that never transfers, as it always has an append. */
    @Test
    void offersSoonAlthoughNotDurable() {
        assertThat(run(5_000, LARGE)).isPresent();
        assertThat(mTransfer.isOfferDue(false, nowMs())).isFalse();
        assertThat(mTransfer.isOfferDue(true, nowMs())).isTrue();

        mScheduler.advanceTimeBy(300, TimeUnit.MILLISECONDS);

        assertThat(mTransfer.isOfferDue(false, nowMs())).isTrue();
    }

    /** Guards against an attempt that ends while the peer still considers the offer. */
    @Test
    void countsTimeToTakeOverFromOffer() {
        assertThat(run(5_000, LARGE)).isPresent();
        mScheduler.advanceTimeBy(300, TimeUnit.MILLISECONDS);
        mTransfer.onOffered(nowMs());
        assertThat(mTransfer.isOfferDue(true, nowMs())).isFalse();

        mScheduler.advanceTimeBy(1_400, TimeUnit.MILLISECONDS);
        assertThat(mTransfer.abandonIfTimedOut(nowMs())).isFalse();
        mScheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        assertThat(mTransfer.abandonIfTimedOut(nowMs())).isTrue();
    }
}
