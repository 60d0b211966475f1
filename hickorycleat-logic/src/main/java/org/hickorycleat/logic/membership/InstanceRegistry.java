package org.hickorycleat.logic.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;

/**
 * Which runs of agents have served which instance, as recorded in the stream {@code instances}.
 *
 * <p>An agent keeps records of idempotency keys in memory only. One whose instance was served
 * before may lack a record and refuses keys for a while. The first one to be recorded for its
 * instance lacks nothing, because an agent serves keys only after its registration was read back.
 * Thread-safe.
 */
public final class InstanceRegistry {
    private final Map<Instance, InstanceRegistration> mFirst = new HashMap<>();
    private final Set<InstanceRegistration> mRegistered = new HashSet<>();
    private boolean mComplete = true;

    /** An instance of a service. */
    private record Instance(ServiceName service, InstanceNumber number) {}

    /** Registration status of a run of an agent. */
    public enum RegistrationStatus {
        /** Its registration was not read yet. */
        UNREGISTERED,
        /** Another run may have served the instance before. */
        SUCCESSOR,
        /** No other run has served the instance before. */
        ORIGINAL
    }

    /** Applies the next record of the stream. */
    public synchronized void apply(InstanceRegistration registration) {
        mRegistered.add(registration);
        mFirst.putIfAbsent(
                new Instance(registration.service(), registration.instance()), registration);
    }

    /** The start of the stream is gone, so earlier registrations may have been missed. */
    public synchronized void onStreamTruncated() {
        mComplete = false;
    }

    /** Returns the standing of a run. */
    public synchronized RegistrationStatus registrationStatus(InstanceRegistration registration) {
        if (!mRegistered.contains(registration)) {
            return RegistrationStatus.UNREGISTERED;
        }
        InstanceRegistration first =
                mFirst.get(new Instance(registration.service(), registration.instance()));
        return mComplete && registration.equals(first)
                ? RegistrationStatus.ORIGINAL
                : RegistrationStatus.SUCCESSOR;
    }
}
