package org.hickorycleat.logic.membership;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorycleat.logic.membership.AgentFixture.IDLE;
import static org.hickorycleat.logic.membership.AgentFixture.SERVICE;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.TargetState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TargetDirectoryTest {
    private final TestScheduler mScheduler = new TestScheduler(5_000, MILLISECONDS);
    private final TargetDirectory mDirectory = new TargetDirectory(mScheduler);
    private final AgentFixture mAgent = new AgentFixture(mDirectory, 1, "a");

    @BeforeEach
    void connect() {
        mAgent.connect();
        mAgent.report();
    }

    /**
     * Guards against new requests to a target without reports, and against removing it too early.
     */
    @Test
    void silentTargetBecomesSuspectThenGone() {
        advance(1_999);
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.READY);
        advance(1);
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.SUSPECT);
        assertThat(mDirectory.readyTargets(SERVICE)).isEmpty();
        advance(7_999);
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.SUSPECT);
        advance(1);
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.GONE);
    }

    /**
     * Guards against a slow start after a short interruption of reports, which would shift load
     * without need.
     */
    @Test
    void suspectTargetIsReadyAgainWithItsNextReportWithoutSlowStart() {
        long upSinceMs = mAgent.view().upSinceMs();
        advance(3_000);
        mAgent.report();
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.READY);
        assertThat(mAgent.view().upSinceMs()).isEqualTo(upSinceMs);
    }

    /** Guards against requests to an agent whose connection is closed. */
    @Test
    void targetOfClosedConnectionIsGoneAtOnce() {
        mAgent.disconnect();
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.GONE);
        assertThat(mDirectory.freeSlots(SERVICE)).isZero();
    }

    /**
     * Guards against the late close of a replaced connection marking a connected target as gone.
     */
    @Test
    void closeOfOlderSessionIsIgnored() {
        var olderSession = mAgent.session();
        mAgent.connect();
        mAgent.report();
        mDirectory.onAgentDisconnected(mAgent.agent(), olderSession);
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.READY);
    }

    /** Guards against an older connection replacing a newer one when events arrive out of order. */
    @Test
    void olderSessionDoesNotReplaceNewerOne() {
        var olderSession = mAgent.session();
        mAgent.connect();
        mAgent.report();
        boolean accepted =
                mDirectory.onAgentConnected(
                        mAgent.agent(), mAgent.view().zone(), mAgent.incarnation(), olderSession);
        assertThat(accepted).isFalse();
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.READY);
    }

    /** Guards against sending full load to a target that has just restarted. */
    @Test
    void restartedTargetComesBackWithNewStartTime() {
        advance(500);
        mAgent.restart();
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.GONE);
        advance(500);
        mAgent.report();
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.READY);
        assertThat(mAgent.view().upSinceMs()).isEqualTo(mDirectory.nowMs());
        assertThat(mAgent.view().incarnation()).isEqualTo(mAgent.incarnation());
    }

    /** Guards against new requests to a target that announced its shutdown. */
    @Test
    void leavingTargetIsNotReady() {
        mAgent.report(TargetState.LEAVING, IDLE, mDirectory.nowMs());
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.LEAVING);
        assertThat(mDirectory.readyTargets(SERVICE)).isEmpty();
    }

    /**
     * Guards against a stale response of an earlier incarnation changing the state of the new one.
     */
    @Test
    void signalsOfEarlierIncarnationAreIgnored() {
        var earlier = mAgent.incarnation();
        mAgent.restart();
        mAgent.report();
        mDirectory.onTargetLeaving(mAgent.address(), earlier);
        mDirectory.onLoadSignal(mAgent.address(), earlier, new LoadSignal(8, 9, 1));
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.READY);
        assertThat(mAgent.view().load()).isEqualTo(IDLE);
    }

    /** Guards against requests to a target that its connected agent no longer reports. */
    @Test
    void targetMissingFromReportIsGone() {
        mAgent.report(mDirectory.nowMs(), List.of());
        assertThat(mAgent.condition()).isEqualTo(TargetCondition.GONE);
    }

    /** Guards against a delayed report overwriting the newer load signal of a response. */
    @Test
    void delayedReportDoesNotOverwriteNewerLoad() {
        long sentMs = mDirectory.nowMs();
        advance(300);
        LoadSignal response = new LoadSignal(7, 0, 12_000);
        mDirectory.onLoadSignal(mAgent.address(), mAgent.incarnation(), response);
        advance(200);
        mAgent.report(TargetState.READY, IDLE, sentMs);
        assertThat(mAgent.view().load()).isEqualTo(response);
        assertThat(mDirectory.freeSlots(SERVICE)).isEqualTo(1);
    }

    /** Guards against memory use that grows with targets of replaced VMs. */
    @Test
    void goneTargetsAreRemovedAfterOneMinute() {
        mAgent.disconnect();
        advance(59_000);
        mDirectory.removeGoneTargets();
        assertThat(mDirectory.dump().get(SERVICE)).hasSize(1);
        advance(1_000);
        mDirectory.removeGoneTargets();
        assertThat(mDirectory.dump().get(SERVICE)).isEmpty();
    }

    private void advance(long milliseconds) {
        mScheduler.advanceTimeBy(milliseconds, MILLISECONDS);
    }
}
