package org.hickorycleat.logic.admission;

import java.util.function.Predicate;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.model.identifier.ServiceName;

/** Sums up the capacity of the ready targets of a {@link TargetDirectory} that routing may use. */
public final class DirectoryCapacitySource implements CapacitySource {
    /**
     * Half-life of reported free slots, which other entries may have used since the load signal.
     */
    private static final double FREE_SLOTS_HALF_LIFE_MS = 500;

    private final TargetDirectory mDirectory;
    private final Predicate<TargetAddress> mUsable;

    /** Creates the source; {@code usable} excludes targets that receive no requests. */
    public DirectoryCapacitySource(TargetDirectory directory, Predicate<TargetAddress> usable) {
        mDirectory = directory;
        mUsable = usable;
    }

    @Override
    public ServiceCapacity capacity(ServiceName service) {
        long nowMs = mDirectory.nowMs();
        int slots = 0;
        double free = 0;
        int queued = 0;
        for (TargetView view : mDirectory.readyTargets(service)) {
            if (!mUsable.test(view.address())) {
                continue;
            }
            double ageMs = Math.max(0, nowMs - view.loadMs());
            int freeSlots = Math.max(0, view.slots() - view.load().inFlight());
            slots += view.slots();
            free += freeSlots * Math.pow(0.5, ageMs / FREE_SLOTS_HALF_LIFE_MS);
            queued += view.load().queued();
        }
        return new ServiceCapacity(slots, (int) free, queued, mDirectory.liveEntries());
    }
}
