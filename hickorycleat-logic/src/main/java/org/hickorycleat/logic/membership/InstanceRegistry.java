package org.hickorycleat.logic.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Records which incarnations of agents have served which instance, from the stream {@code
 * instances}.
 *
 * <p>An agent keeps records of idempotency keys only in memory. If its instance was served before,
 * it may lack records and rejects keys for some time. The first incarnation registered for an
 * instance lacks no record, because an agent serves keys only after its registration was read back.
 * Thread-safe.
 */
public final class InstanceRegistry {
    private final Map<Instance, InstanceRegistration> mFirstRegistrations = new HashMap<>();
    private final Set<InstanceRegistration> mRegistered = new HashSet<>();
    private boolean mComplete = true;

    /** An instance of a service. */
    private record Instance(ServiceName service, InstanceNumber number) {}

    /** Registration status of an incarnation of an agent. */
    public enum RegistrationStatus {
        /** The registration has not been read yet. */
        UNREGISTERED,
        /** Another incarnation may have served the instance before. */
        SUCCESSOR,
        /** No other incarnation has served the instance before. */
        ORIGINAL
    }

    /** Applies the next record of the stream. */
    public synchronized void apply(InstanceRegistration registration) {
        mRegistered.add(registration);
        mFirstRegistrations.putIfAbsent(
                new Instance(registration.service(), registration.instance()), registration);
    }

    /** Handles truncation of the stream, by which earlier registrations may have been missed. */
    public synchronized void onStreamTruncated() {
        mComplete = false;
    }

    /** Returns the registration status of an incarnation of an agent. */
    public synchronized RegistrationStatus registrationStatus(InstanceRegistration registration) {
        if (!mRegistered.contains(registration)) {
            return RegistrationStatus.UNREGISTERED;
        }
        InstanceRegistration first =
                mFirstRegistrations.get(
                        new Instance(registration.service(), registration.instance()));
        return mComplete && registration.equals(first)
                ? RegistrationStatus.ORIGINAL
                : RegistrationStatus.SUCCESSOR;
    }
}
