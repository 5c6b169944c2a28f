package org.peridotcourse.placement;

import java.util.Map;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;

/** Chooses the data centres that tasks are handed over to. Confined to one thread. */
final class HandoverTargets {
    private final OwnerState state;

    HandoverTargets(OwnerState book) {
        this.state = book;
    }

    /**
     * Returns the data centre with the most free processor time that may take a task of a job.
     *
     * @param job the job
     * @param needsRoom whether the free capacity must have room for the task
     * @return the data centre, null if there is none
     */
    DataCentreId choose(Job job, boolean needsRoom) {
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
                            && !entry.getValue().challenger.isHoldOver(state.nowMillis)
                            && (!needsRoom || job.size().isWithin(free))
                            && (!needsRoom || !entry.getValue().isUnattended(state.nowMillis));
            if (usable && (best == null || free.milliCores() > bestFree.milliCores())) {
                best = candidate;
                bestFree = free;
            }
        }
        return best;
    }

    /** Takes the size of one task off what a data centre published as free. */
    void reserve(DataCentreId target, Job job) {
        PeerOwner peer = state.peers.get(target);
        peer.free = peer.free.minus(job.size());
    }
}
