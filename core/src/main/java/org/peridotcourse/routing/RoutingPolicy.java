package org.peridotcourse.routing;

/**
 * How backend servers are chosen and limited. Both policies keep the guarantees on hand-overs: at
 * most two attempts, and none of a non-idempotent request after one that may have run.
 */
public enum RoutingPolicy {
    /** Least expected wait within limits, with admission, ejection and retry budget. */
    LOAD_AWARE(true),
    /** Random backend server, no limits, retry on every error; for comparison only. */
    RANDOM(false);

    private final boolean limited;

    RoutingPolicy(boolean limited) {
        this.limited = limited;
    }

    /**
     * Tells whether load is limited and failing backend servers are avoided.
     *
     * @return true if it is
     */
    public boolean isLimited() {
        return limited;
    }
}
