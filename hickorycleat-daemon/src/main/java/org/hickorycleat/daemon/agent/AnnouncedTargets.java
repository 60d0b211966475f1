package org.hickorycleat.daemon.agent;

import io.reactivex.rxjava3.core.Scheduler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.http.ProcessStatus;
import org.hickorycleat.daemon.logging.EventLog;
import org.hickorycleat.logic.invocation.InvocationService;
import org.hickorycleat.logic.invocation.ManifestKeyMapping;
import org.hickorycleat.logic.invocation.TargetConfiguration;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ServiceSpecification;
import org.hickorycleat.model.message.RegistrationConfirmation;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.TargetState;

/** Local targets that announce themselves to this agent, at most one per service. */
final class AnnouncedTargets {
    private static final EventLog LOG = EventLog.of(AnnouncedTargets.class);

    /** A target without an announcement for this long is removed. */
    private static final long ANNOUNCEMENT_TIMEOUT_MS = 3_000;

    private static final ConfigurationVersion NO_MAPPING = new ConfigurationVersion(-1);

    private final InvocationService mInvocations;
    private final Scheduler mScheduler;
    private final Map<ServiceName, LastAnnouncement> mTargets = new ConcurrentHashMap<>();
    private final Set<RegistrationConfirmation> mConfirmations = ConcurrentHashMap.newKeySet();
    private volatile Optional<Manifest> mManifest = Optional.empty();
    private volatile boolean mDraining;

    AnnouncedTargets(InvocationService invocations, Scheduler scheduler) {
        mInvocations = invocations;
        mScheduler = scheduler;
    }

    /** The last announcement of a target and the time of its receipt. */
    private record LastAnnouncement(Announcement announcement, long receivedMs) {}

    /**
     * Updates a target from its announcement; returns whether it changed and entries must be
     * notified.
     */
    boolean updateTarget(Announcement announcement) {
        LastAnnouncement previous =
                mTargets.put(announcement.service(), new LastAnnouncement(announcement, nowMs()));
        if (previous != null && previous.announcement().equals(announcement)) {
            return false;
        }
        LOG.event("target_announced")
                .with("service", announcement.service())
                .with("instance", announcement.instance())
                .with("address", announcement.address())
                .with("state", announcement.state())
                .info();
        configure(announcement);
        mInvocations.setLeaving(
                announcement.service(), announcement.state() == TargetState.LEAVING);
        return true;
    }

    /** Applies a manifest, or the configuration slice for these targets. */
    void configure(Manifest manifest) {
        mManifest = Optional.of(manifest);
        mTargets.values().forEach(latest -> configure(latest.announcement()));
    }

    /**
     * Starts accepting idempotency keys for an instance whose registration with this agent is
     * confirmed.
     */
    void onInstanceRegistered(RegistrationConfirmation confirmation) {
        LastAnnouncement latest = mTargets.get(confirmation.service());
        if (latest == null
                || !latest.announcement().instance().equals(confirmation.instance())
                || !mConfirmations.add(confirmation)) {
            return;
        }
        configure(latest.announcement());
        if (confirmation.firstRegistration()) {
            mInvocations.markKeyRecordsComplete(confirmation.service(), confirmation.instance());
        }
        LOG.event("instance_registered")
                .with("service", confirmation.service())
                .with("instance", confirmation.instance())
                .with("original", confirmation.firstRegistration())
                .info();
    }

    /** Reports all targets as leaving and rejects new requests. */
    void startDrain() {
        mDraining = true;
        mInvocations.startDrain();
    }

    /** Returns the address of the target of a service; empty if none is announced. */
    Optional<InetSocketAddress> address(ServiceName service) {
        return Optional.ofNullable(mTargets.get(service))
                .map(latest -> latest.announcement().address());
    }

    /** Returns the services with an announced target. */
    List<ServiceName> services() {
        return List.copyOf(mTargets.keySet());
    }

    /** Returns the targets for a report; removes those whose announcements timed out. */
    List<TargetReport> reports() {
        long nowMs = nowMs();
        mTargets.values().removeIf(latest -> nowMs - latest.receivedMs() > ANNOUNCEMENT_TIMEOUT_MS);
        return mTargets.values().stream().map(latest -> report(latest.announcement())).toList();
    }

    /** Returns the targets for the process status. */
    List<ProcessStatus.Service> statuses() {
        return reports().stream().map(AnnouncedTargets::status).toList();
    }

    private static ProcessStatus.Service status(TargetReport target) {
        boolean ready = target.state() == TargetState.READY;
        return new ProcessStatus.Service(
                target.service().value(),
                ready ? 1 : 0,
                ready ? 0 : 1,
                0,
                target.load().inFlight(),
                target.load().queued());
    }

    private TargetReport report(Announcement target) {
        return new TargetReport(
                target.service(),
                target.instance(),
                mDraining ? TargetState.LEAVING : target.state(),
                effectiveSlots(target),
                target.connections(),
                mInvocations.load(target.service()));
    }

    private void configure(Announcement target) {
        Optional<ServiceSpecification> service =
                mManifest.flatMap(manifest -> manifest.service(target.service()));
        mInvocations.configure(
                new TargetConfiguration(
                        target.service(),
                        target.instance(),
                        isRegistered(target)
                                ? service.map(ManifestKeyMapping::instances).orElse(List.of())
                                : List.of(),
                        service.map(ManifestKeyMapping::version).orElse(NO_MAPPING),
                        effectiveSlots(target),
                        target.connections()));
    }

    /**
     * Returns whether the instance is registered. Without a registration, the next agent that hosts
     * it could not know that this agent may hold idempotency key records.
     */
    private boolean isRegistered(Announcement target) {
        return mConfirmations.stream()
                .anyMatch(
                        confirmation ->
                                confirmation.service().equals(target.service())
                                        && confirmation.instance().equals(target.instance()));
    }

    /**
     * Returns the number of slots; the manifest may lower the target's own number but not raise it.
     */
    private int effectiveSlots(Announcement target) {
        return mManifest
                .flatMap(manifest -> manifest.service(target.service()))
                .map(service -> Math.min(service.slots(), target.slots()))
                .orElse(target.slots());
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
