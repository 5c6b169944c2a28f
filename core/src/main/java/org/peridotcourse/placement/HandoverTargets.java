package org.peridotcourse.placement;

import java.util.Map;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;

/** Chooses the data centres to which tasks are handed over. Confined to one thread. */
final class HandoverTargets {
    private final OwnerState state;

    HandoverTargets(OwnerState state) {
        this.state = state;
    }

    /**
     * Returns the data centre with the most free processor time that may run a task of a job.
     *
     * @param job the job
     * @param requiresCapacity whether the published free capacity must cover the task
     * @return the data centre, null if there is none
     */
    DataCentreId choose(Job job, boolean requiresCapacity) {
        PlacementConfig.WorkloadRule rule = state.rule(job.workload()).orElse(null);
        if (rule == null) {
            return null;
        }
        DataCentreId best = null;
        Resources bestFree = Resources.ZERO;
        for (Map.Entry<DataCentreId, PeerOwner> entry : state.peers.entrySet()) {
            DataCentreId candidate = entry.getKey();
            Resources free = entry.getValue().free;
            boolean usable =
                    state.config.isIn(candidate)
                            && rule.allows(candidate)
                            && !entry.getValue().challenger.isHoldExpired(state.nowMillis)
                            && (!requiresCapacity || job.size().isWithin(free))
                            && (!requiresCapacity || !entry.getValue().hasNoOwner(state.nowMillis));
            if (usable && (best == null || free.milliCores() > bestFree.milliCores())) {
                best = candidate;
                bestFree = free;
            }
        }
        return best;
    }

    /** Subtracts the size of one task from the published free capacity of a data centre. */
    void reserve(DataCentreId target, Job job) {
        PeerOwner peer = state.peers.get(target);
        peer.free = peer.free.minus(job.size());
    }
}
