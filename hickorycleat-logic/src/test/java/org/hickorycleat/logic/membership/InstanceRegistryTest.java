package org.hickorycleat.logic.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickorycleat.logic.membership.InstanceRegistry.RegistrationStatus;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ServiceName;
import org.junit.jupiter.api.Test;

class InstanceRegistryTest {
    private static final InstanceRegistration FIRST = registration("agent-1", 1);
    private static final InstanceRegistration RESTARTED = registration("agent-1", 2);

    private final InstanceRegistry mRegistry = new InstanceRegistry();

    /** Guards against an agent that serves keys before successors can detect it. */
    @Test
    void isUnregisteredUntilTheRecordWasRead() {
        assertThat(mRegistry.registrationStatus(FIRST)).isEqualTo(RegistrationStatus.UNREGISTERED);
    }

    /** Guards against rejecting keys for over a minute when a fleet first starts. */
    @Test
    void firstIncarnationOfAnInstanceIsOriginal() {
        mRegistry.apply(FIRST);
        mRegistry.apply(FIRST);

        assertThat(mRegistry.registrationStatus(FIRST)).isEqualTo(RegistrationStatus.ORIGINAL);
    }

    /** Guards against a restarted agent that has lost its key records and runs a copy again. */
    @Test
    void restartedAgentIsSuccessor() {
        mRegistry.apply(FIRST);
        mRegistry.apply(RESTARTED);

        assertThat(mRegistry.registrationStatus(RESTARTED)).isEqualTo(RegistrationStatus.SUCCESSOR);
    }

    /** Guards against a replacement on another VM that lacks the key records of the instance. */
    @Test
    void replacementOnAnotherVmIsSuccessor() {
        mRegistry.apply(FIRST);
        InstanceRegistration replacement = registration("agent-9", 7);
        mRegistry.apply(replacement);

        assertThat(mRegistry.registrationStatus(replacement))
                .isEqualTo(RegistrationStatus.SUCCESSOR);
    }

    /** Guards against treating a stream as complete after its first records have expired. */
    @Test
    void truncatedStreamHasNoOriginal() {
        mRegistry.onStreamTruncated();
        mRegistry.apply(RESTARTED);

        assertThat(mRegistry.registrationStatus(RESTARTED)).isEqualTo(RegistrationStatus.SUCCESSOR);
    }

    private static InstanceRegistration registration(String agent, long incarnation) {
        return new InstanceRegistration(
                new ServiceName("booking"),
                new InstanceNumber(3),
                new ProcessId(agent),
                new Incarnation(incarnation));
    }
}
