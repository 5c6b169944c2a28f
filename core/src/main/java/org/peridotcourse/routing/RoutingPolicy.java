package org.peridotcourse.routing;

/** How backend servers are chosen and limited. */
public enum RoutingPolicy {
    /** Least expected wait within limits, with fair queue, ejection and retry budget. */
    GUARDED,
    /** Random backend server, no limits, retry on every error; for comparison only. */
    PLAIN
}
