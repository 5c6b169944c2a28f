package org.peridotcourse.routing;

/**
 * How backend servers are selected and limited. Both policies guarantee at most two attempts, and
 * no further attempt of a non-idempotent request after one that may have run.
 */
public enum RoutingPolicy {
    /** Lowest expected wait within limits, with admission control, ejection and retry budget. */
    LOAD_AWARE(true),
    /** Random backend server, no limits, retry after every failure; for comparison only. */
    RANDOM(false);

    private final boolean limited;

    RoutingPolicy(boolean limited) {
        this.limited = limited;
    }

    /**
     * Returns whether load is limited and failing backend servers are avoided.
     *
     * @return true if it is
     */
    public boolean isLimited() {
        return limited;
    }
}
