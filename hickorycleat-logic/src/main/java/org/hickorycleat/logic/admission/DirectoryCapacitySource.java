package org.hickorycleat.logic.admission;

import java.util.function.Predicate;
import org.hickorycleat.logic.membership.TargetDirectory;
import org.hickorycleat.logic.membership.TargetView;
import org.hickorycleat.logic.routing.TargetAddress;
import org.hickorycleat.model.identifier.ServiceName;

/** Capacity of the ready targets of a {@link TargetDirectory} that routing would use. */
public final class DirectoryCapacitySource implements CapacitySource {
    /** Half-life of free slots, which other entries may have taken since the signal. */
    private static final double FREE_HALF_LIFE_MS = 500;

    private final TargetDirectory mDirectory;
    private final Predicate<TargetAddress> mUsable;

    /** Creates the source; {@code usable} leaves out targets that get no requests. */
    public DirectoryCapacitySource(TargetDirectory directory, Predicate<TargetAddress> usable) {
        mDirectory = directory;
        mUsable = usable;
    }

    @Override
    public ServiceSlots slots(ServiceName service) {
        long nowMs = mDirectory.nowMs();
        int slots = 0;
        double free = 0;
        int queued = 0;
        for (TargetView view : mDirectory.readyTargets(service)) {
            if (!mUsable.test(view.address())) {
                continue;
            }
            double age = Math.max(0, nowMs - view.loadMs());
            int unused = Math.max(0, view.slots() - view.load().inFlight());
            slots += view.slots();
            free += unused * Math.pow(0.5, age / FREE_HALF_LIFE_MS);
            queued += view.load().queued();
        }
        return new ServiceSlots(slots, (int) free, queued, mDirectory.liveEntries());
    }
}
