package org.peridotcourse.placement;

import org.peridotcourse.Resources;
import org.peridotcourse.base.LeaseChallenger;

/** What the owner knows of another data centre's owner. Confined to one thread. */
final class PeerOwner {
    final LeaseChallenger challenger;

    /** What its owner published as free, less what was handed over since. */
    Resources free = Resources.ZERO;

    long commit;
    long readRequestedMillis = Long.MIN_VALUE / 2;

    PeerOwner(String name, long marginMillis) {
        challenger = new LeaseChallenger(name, marginMillis);
    }

    /** Tells whether nobody keeps the published figure up to date or takes tasks in. */
    boolean isUnattended(long nowMillis) {
        return challenger.takeover(nowMillis, 0, 0).isPresent();
    }
}
