package org.peridotcourse.placement;

import org.peridotcourse.Resources;
import org.peridotcourse.base.LeaseChallenger;

/** State of another data centre's owner, from its lease row. Confined to one thread. */
final class PeerOwner {
    final LeaseChallenger challenger;

    /** Free capacity that it published, less what was handed over since. */
    Resources free = Resources.ZERO;

    long commit;
    long readRequestedMillis = Long.MIN_VALUE / 2;

    PeerOwner(String name, long marginMillis) {
        challenger = new LeaseChallenger(name, marginMillis);
    }

    /**
     * Returns whether its lease has expired or was released, so that no owner updates the free
     * capacity or accepts tasks.
     */
    boolean hasNoOwner(long nowMillis) {
        return challenger.takeover(nowMillis, 0, 0).isPresent();
    }
}
