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

/** The targets that announce themselves to this agent, at most one of each service. */
final class AnnouncedTargets {
    private static final EventLog LOG = EventLog.of(AnnouncedTargets.class);

    /** A target that has not announced itself for this long is no longer reported. */
    private static final long ANNOUNCEMENT_LIFETIME_MS = 3_000;

    private static final ConfigurationVersion NO_MAPPING = new ConfigurationVersion(-1);

    private final InvocationService mInvocations;
    private final Scheduler mScheduler;
    private final Map<ServiceName, Hosted> mTargets = new ConcurrentHashMap<>();
    private final Set<RegistrationConfirmation> mRegistered = ConcurrentHashMap.newKeySet();
    private volatile Optional<Manifest> mManifest = Optional.empty();
    private volatile boolean mLeaving;

    AnnouncedTargets(InvocationService invocations, Scheduler scheduler) {
        mInvocations = invocations;
        mScheduler = scheduler;
    }

    /** An announcement and when it arrived. */
    private record Hosted(Announcement announcement, long heardMs) {}

    /** Takes an announcement; tells whether it changes what entries must know. */
    boolean announce(Announcement announcement) {
        Hosted former = mTargets.put(announcement.service(), new Hosted(announcement, nowMs()));
        if (former != null && former.announcement().equals(announcement)) {
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

    /** Puts a configuration, or the slice of it that concerns these targets, in force. */
    void configure(Manifest manifest) {
        mManifest = Optional.of(manifest);
        mTargets.values().forEach(hosted -> configure(hosted.announcement()));
    }

    /** Serves keys of an instance from now on; entries have recorded that this agent does. */
    void onInstanceRegistered(RegistrationConfirmation standing) {
        Hosted hosted = mTargets.get(standing.service());
        if (hosted == null
                || !hosted.announcement().instance().equals(standing.instance())
                || !mRegistered.add(standing)) {
            return;
        }
        configure(hosted.announcement());
        if (standing.firstRegistration()) {
            mInvocations.markKeyRecordsComplete(standing.service(), standing.instance());
        }
        LOG.event("instance_registered")
                .with("service", standing.service())
                .with("instance", standing.instance())
                .with("original", standing.firstRegistration())
                .info();
    }

    /** Reports every target as leaving from now on and refuses new requests. */
    void startLeaving() {
        mLeaving = true;
        mInvocations.startDrain();
    }

    /** Finds the address of the target of a service. */
    Optional<InetSocketAddress> address(ServiceName service) {
        return Optional.ofNullable(mTargets.get(service))
                .map(hosted -> hosted.announcement().address());
    }

    /** Returns the services whose targets announced themselves. */
    List<ServiceName> services() {
        return List.copyOf(mTargets.keySet());
    }

    /** Returns the targets for a report; forgets those that fell silent. */
    List<TargetReport> reports() {
        long nowMs = nowMs();
        mTargets.values().removeIf(hosted -> nowMs - hosted.heardMs() > ANNOUNCEMENT_LIFETIME_MS);
        return mTargets.values().stream().map(hosted -> report(hosted.announcement())).toList();
    }

    /** Returns the targets for the status of the process. */
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
                mLeaving ? TargetState.LEAVING : target.state(),
                slots(target),
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
                        slots(target),
                        target.connections()));
    }

    /** Until then a successor could not know that this agent may hold records of keys. */
    private boolean isRegistered(Announcement target) {
        return mRegistered.stream()
                .anyMatch(
                        standing ->
                                standing.service().equals(target.service())
                                        && standing.instance().equals(target.instance()));
    }

    /** The manifest may lower what the target offers, never raise it. */
    private int slots(Announcement target) {
        return mManifest
                .flatMap(manifest -> manifest.service(target.service()))
                .map(service -> Math.min(service.slots(), target.slots()))
                .orElse(target.slots());
    }

    private long nowMs() {
        return mScheduler.now(TimeUnit.MILLISECONDS);
    }
}
