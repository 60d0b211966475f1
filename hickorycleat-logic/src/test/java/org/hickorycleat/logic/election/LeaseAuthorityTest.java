package org.hickorycleat.logic.election;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.LongStream;
import org.hickorycleat.model.identifier.Epoch;
import org.hickorycleat.model.identifier.ProcessId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LeaseAuthorityTest {
    private static final Epoch EPOCH = new Epoch(1);
    private static final Epoch NEXT_EPOCH = new Epoch(2);
    private static final Epoch THIRD_EPOCH = new Epoch(3);
    private static final ProcessId FIRST = new ProcessId("entry-1");
    private static final ProcessId SECOND = new ProcessId("entry-2");
    private static final long LONG_SILENCE_MS = 4_000;
    private static final long POLL_INTERVAL_MS = 300;
    private static final long SEEDS = 500;

    private long mSteadyMs = 100_000;
    private long mWallMs = 100_000;
    private final LeaseAuthority mAuthority = new LeaseAuthority(() -> mSteadyMs, () -> mWallMs);
    private final OwnerSuccession mSuccession = new OwnerSuccession(() -> mSteadyMs, () -> mWallMs);

    private void advanceTime(long milliseconds) {
        mSteadyMs += milliseconds;
        mWallMs += milliseconds;
    }

    @BeforeEach
    void ownForSomeTime() {
        advanceTime(10_000);
    }

    @Test
    void extendsLeasesWhileStoreResponds() {
        mAuthority.onHeartbeat(List.of(FIRST));

        assertThat(mAuthority.mayExtendLeases(900)).isTrue();
    }

    @Test
    void extendsLeasesWithoutStoreWhileAllEntriesConfirm() {
        long number = mAuthority.onHeartbeat(List.of(FIRST, SECOND));
        mAuthority.onConfirmed(FIRST, number);
        assertThat(mAuthority.mayExtendLeases(LONG_SILENCE_MS)).isFalse();

        mAuthority.onConfirmed(SECOND, number);

        assertThat(mAuthority.mayExtendLeases(LONG_SILENCE_MS)).isTrue();
        assertThat(mAuthority.mayExtendLeases(LeaseAuthority.STORE_TIMEOUT_MS)).isFalse();
    }

    @Test
    void countsAgeOfConfirmationFromItsHeartbeat() {
        long number = mAuthority.onHeartbeat(List.of(FIRST));
        advanceTime(900);
        mAuthority.onConfirmed(FIRST, number);
        assertThat(mAuthority.mayExtendLeases(LONG_SILENCE_MS)).isTrue();

        advanceTime(200);

        assertThat(mAuthority.mayExtendLeases(LONG_SILENCE_MS)).isFalse();
    }

    @Test
    void extendsNoLeaseOnConfirmationsFromBeforeSuspension() {
        long number = mAuthority.onHeartbeat(List.of(FIRST));
        mAuthority.onConfirmed(FIRST, number);
        mWallMs += 3_000;

        assertThat(mAuthority.mayExtendLeases(LONG_SILENCE_MS)).isFalse();
    }

    @Test
    void needsNoConfirmationOfEntryThatIsGoneForLong() {
        mAuthority.onHeartbeat(List.of(FIRST));
        advanceTime(31_000);
        long number = mAuthority.onHeartbeat(List.of(SECOND));
        mAuthority.onConfirmed(SECOND, number);

        assertThat(mAuthority.mayExtendLeases(LONG_SILENCE_MS)).isTrue();
    }

    @Test
    void waitsLessAfterOwnerThatWasHeard() {
        mSuccession.onClaimRead(EPOCH, mSteadyMs - LONG_SILENCE_MS);
        advanceTime(10_000);
        mSuccession.onOwnerHeard(EPOCH, 7);
        assertThat(mSuccession.numberToConfirm(EPOCH)).isEqualTo(7);

        mSuccession.onClaimRead(NEXT_EPOCH, mSteadyMs - POLL_INTERVAL_MS);

        assertThat(mSuccession.numberToConfirm(EPOCH)).isZero();
        assertThat(mSuccession.previousOwnerLeaseMs())
                .isEqualTo(LeaseAuthority.CONFIRMED_OWNER_LEASE_MS);
    }

    /** Guards against a long wait when two entries claim at the same time. */
    @Test
    void waitsLessAfterOwnerThatWasReplacedAtOnce() {
        mSuccession.onClaimRead(EPOCH, mSteadyMs - LONG_SILENCE_MS);
        advanceTime(10_000);
        mSuccession.onOwnerHeard(EPOCH, 7);
        advanceTime(900);
        mSuccession.onClaimRead(NEXT_EPOCH, mSteadyMs - POLL_INTERVAL_MS);
        advanceTime(30);

        mSuccession.onClaimRead(THIRD_EPOCH, mSteadyMs - POLL_INTERVAL_MS);

        assertThat(mSuccession.previousOwnerLeaseMs())
                .isEqualTo(LeaseAuthority.CONFIRMED_OWNER_LEASE_MS);
    }

    /** Guards against an owner without followers that extends leases after it was replaced. */
    @Test
    void extendsNoLeaseWithoutStoreSoonAfterItsClaim() {
        LeaseAuthority authority = new LeaseAuthority(() -> mSteadyMs, () -> mWallMs);
        advanceTime(4_000);

        assertThat(authority.mayExtendLeases(2_000)).isFalse();
    }

    @Test
    void waitsForOwnerBeforeOneThatOwnedOnlyShortly() {
        mSuccession.onClaimRead(EPOCH, mSteadyMs - LONG_SILENCE_MS);
        mSuccession.onOwnerHeard(EPOCH, 7);
        advanceTime(2_000);
        mSuccession.onClaimRead(NEXT_EPOCH, mSteadyMs - POLL_INTERVAL_MS);

        assertThat(mSuccession.previousOwnerLeaseMs()).isEqualTo(4_000);
    }

    @Test
    void waitsLongAfterOwnerThatWasNotHeard() {
        mSuccession.onClaimRead(EPOCH, mSteadyMs - LONG_SILENCE_MS);
        advanceTime(20_000);
        mSuccession.onClaimRead(NEXT_EPOCH, mSteadyMs - POLL_INTERVAL_MS);
        assertThat(mSuccession.previousOwnerLeaseMs()).isEqualTo(LeaseAuthority.STORE_TIMEOUT_MS);
    }

    @Test
    void waitsLongAfterOwnerThatWasHeardLongAgo() {
        mSuccession.onClaimRead(EPOCH, mSteadyMs - LONG_SILENCE_MS);
        mSuccession.onOwnerHeard(EPOCH, 7);
        advanceTime(20_000);
        mSuccession.onClaimRead(NEXT_EPOCH, mSteadyMs - POLL_INTERVAL_MS);

        assertThat(mSuccession.previousOwnerLeaseMs()).isEqualTo(LeaseAuthority.STORE_TIMEOUT_MS);
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    private record Delivery(long atMs, Runnable action) {}

    /** An owner and its followers, whose messages are late and lost, until one of them claims. */
    private final class Fleet {
        private final Random mRandom;
        private final PriorityQueue<Delivery> mDeliveries =
                new PriorityQueue<>((left, right) -> Long.compare(left.atMs(), right.atMs()));
        private final List<OwnerSuccession> mFollowers = new ArrayList<>();
        private long mStoreContactMs = mSteadyMs;

        Fleet(long seed) {
            mRandom = new Random(seed);
            for (int i = 0; i < 3; i++) {
                OwnerSuccession follower = new OwnerSuccession(() -> mSteadyMs, () -> mWallMs);
                follower.onClaimRead(EPOCH, mSteadyMs - LONG_SILENCE_MS);
                mFollowers.add(follower);
            }
        }

        private void deliver(Runnable action) {
            if (mRandom.nextInt(4) > 0) {
                long delayMs = mRandom.nextInt(5) == 0 ? mRandom.nextInt(3_000) : 5;
                mDeliveries.add(new Delivery(mSteadyMs + delayMs, action));
            }
        }

        private static ProcessId process(int follower) {
            return new ProcessId("entry-" + follower);
        }

        void exchangeHeartbeats() {
            List<ProcessId> connected = new ArrayList<>();
            for (int i = 0; i < mFollowers.size(); i++) {
                connected.add(process(i));
            }
            long number = mAuthority.onHeartbeat(connected);
            for (int i = 0; i < mFollowers.size(); i++) {
                OwnerSuccession follower = mFollowers.get(i);
                ProcessId process = process(i);
                deliver(() -> follower.onOwnerHeard(EPOCH, number));
                long confirmed = follower.numberToConfirm(EPOCH);
                deliver(() -> mAuthority.onConfirmed(process, confirmed));
            }
        }

        void advance(boolean storeReachable) {
            advanceTime(50);
            if (storeReachable) {
                mStoreContactMs = mSteadyMs;
            }
            while (!mDeliveries.isEmpty() && mDeliveries.peek().atMs() <= mSteadyMs) {
                mDeliveries.remove().action().run();
            }
            if (mSteadyMs % 200 == 0) {
                exchangeHeartbeats();
            }
        }

        boolean mayExtendLeases() {
            return mAuthority.mayExtendLeases(mSteadyMs - mStoreContactMs);
        }
    }

    /** Guards against leases that an owner extends after its successor stops waiting for them. */
    @ParameterizedTest
    @MethodSource("seeds")
    void extendsNoLeaseAfterSuccessorHasWaited(long seed) {
        Fleet fleet = new Fleet(seed);
        long healthyMs = fleet.mRandom.nextInt(500, 20_000);
        long outageMs = fleet.mRandom.nextInt(8_000);
        for (long passed = 0; passed < healthyMs; passed += 50) {
            fleet.advance(true);
        }
        for (long passed = 0; passed < outageMs; passed += 50) {
            fleet.advance(false);
        }

        // The store serves some followers again, but not the owner.
        OwnerSuccession successor = fleet.mFollowers.get(fleet.mRandom.nextInt(3));
        LeaseAuthority unheard = new LeaseAuthority(() -> mSteadyMs, () -> mWallMs);
        if (fleet.mRandom.nextBoolean()) {
            successor.onClaimRead(NEXT_EPOCH, mSteadyMs - POLL_INTERVAL_MS);
            long tenureMs = fleet.mRandom.nextInt(8_000);
            for (long passed = 0; passed < tenureMs; passed += 50) {
                fleet.advance(false);
            }
        }
        long unheardContactMs = mSteadyMs;
        successor.onClaimRead(THIRD_EPOCH, mSteadyMs - POLL_INTERVAL_MS);
        long extendsNoMoreAtMs = mSteadyMs + successor.previousOwnerLeaseMs();
        for (long passed = 0; passed < 10_000; passed += 50) {
            fleet.advance(false);
            boolean extended =
                    fleet.mayExtendLeases()
                            || unheard.mayExtendLeases(mSteadyMs - unheardContactMs);
            assertThat(extended && mSteadyMs >= extendsNoMoreAtMs).isFalse();
        }
    }
}
