package org.hickorycleat.model.manifest;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorycleat.model.identifier.JobName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.ManifestFinding.Kind;

/**
 * Finds entries of a valid manifest that never take effect and limits that contradict each other.
 *
 * <p>Findings depend on the time and on the configuration in force, so they are no errors: every
 * reader of the log must reach the same result on whether a manifest is valid.
 */
public final class ManifestInspector {
    private final Manifest mManifest;
    private final Optional<Manifest> mCurrent;
    private final Instant mNow;
    private final List<ManifestFinding> mFindings = new ArrayList<>();

    private record JobKey(JobName name, String run) {
        static JobKey of(JobSpecification job) {
            return new JobKey(job.name(), job.run());
        }
    }

    private ManifestInspector(Manifest manifest, Optional<Manifest> current, Instant now) {
        mManifest = manifest;
        mCurrent = current;
        mNow = now;
    }

    /**
     * Returns all findings in the order of the manifest.
     *
     * @param current manifest in force; empty if there is none or it is not known
     * @param now time at which the manifest would be published
     */
    public static List<ManifestFinding> inspect(
            Manifest manifest, Optional<Manifest> current, Instant now) {
        ManifestInspector inspector = new ManifestInspector(manifest, current, now);
        inspector.inspectTeams();
        inspector.inspectServices();
        inspector.inspectJobs();
        return List.copyOf(inspector.mFindings);
    }

    private void inspectTeams() {
        Set<TeamName> used = new HashSet<>();
        mManifest.services().forEach(service -> used.add(service.team()));
        mManifest.jobs().forEach(job -> used.add(job.team()));
        for (int index = 0; index < mManifest.teams().size(); index++) {
            TeamName name = mManifest.teams().get(index).name();
            if (!used.contains(name)) {
                neverApplies("teams", index, "team " + name + " has no service and no job");
            }
        }
    }

    private void inspectServices() {
        for (int index = 0; index < mManifest.services().size(); index++) {
            ServiceSpecification service = mManifest.services().get(index);
            long zones = service.zones().stream().distinct().count();
            if (zones > service.instances()) {
                contradiction(
                        "services",
                        index,
                        service.instances()
                                + " instances cannot be spread over "
                                + zones
                                + " availability zones");
            }
        }
    }

    private void inspectJobs() {
        Map<JobKey, JobSpecification> current = currentJobs();
        for (int index = 0; index < mManifest.jobs().size(); index++) {
            JobSpecification job = mManifest.jobs().get(index);
            inspectQuota(index, job);
            inspectDeadline(index, job);
            JobSpecification before = current.get(JobKey.of(job));
            if (before != null && !before.equals(job)) {
                neverApplies(
                        "jobs",
                        index,
                        "job "
                                + job.name()
                                + " run "
                                + job.run()
                                + " is in force with other values; a changed job needs a new run");
            }
        }
    }

    private Map<JobKey, JobSpecification> currentJobs() {
        Map<JobKey, JobSpecification> jobs = new HashMap<>();
        mCurrent.ifPresent(
                manifest -> manifest.jobs().forEach(job -> jobs.put(JobKey.of(job), job)));
        return jobs;
    }

    private void inspectQuota(int index, JobSpecification job) {
        Optional<TeamSpecification> team = mManifest.team(job.team());
        if (team.isPresent() && !job.resources().fitsInto(team.get().quota())) {
            contradiction("jobs", index, "its resources exceed the quota of team " + job.team());
        }
    }

    private void inspectDeadline(int index, JobSpecification job) {
        if (job.deadline().isEmpty()) {
            return;
        }
        Instant deadline = job.deadline().get();
        if (!mNow.isBefore(deadline)) {
            neverApplies("jobs", index, "its deadline has passed: " + deadline);
            return;
        }
        Instant start = job.release().filter(release -> release.isAfter(mNow)).orElse(mNow);
        long availableSeconds = Duration.between(start, deadline).toSeconds();
        if (job.estimatedSeconds() > availableSeconds) {
            contradiction(
                    "jobs",
                    index,
                    "its estimated run time of "
                            + job.estimatedSeconds()
                            + " s exceeds the "
                            + availableSeconds
                            + " s until its deadline");
        }
    }

    private void neverApplies(String list, int index, String detail) {
        add(Kind.NEVER_APPLIES, list, index, detail);
    }

    private void contradiction(String list, int index, String detail) {
        add(Kind.CONTRADICTION, list, index, detail);
    }

    private void add(Kind kind, String list, int index, String detail) {
        mFindings.add(new ManifestFinding(kind, "$." + list + "[" + index + "]", detail));
    }
}
