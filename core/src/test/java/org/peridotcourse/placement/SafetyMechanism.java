package org.peridotcourse.placement;

/** A safety mechanism that a test can disable to check which invariant fails without it. */
enum SafetyMechanism {
    /** Workers refuse commands of earlier epochs. */
    WORKER_EPOCH,
    /** Workers refuse to start an attempt that was started or stopped before. */
    WORKER_ATTEMPT,
    /** Workers stop tasks whose leases have expired. */
    WORKER_LEASE,
    /** A margin is added before a lease counts as expired. */
    MARGIN,
    /** Writes check the owner's lease row. */
    LEASE_CHECK,
    /** Writes check the commits of the rows that they change. */
    ROW_CHECK,
    /** Another data centre waits for the hold time before it takes over tasks. */
    HOLD,
    /** Starts need a recently confirmed configuration. */
    CONFIG_FRESHNESS,
    /** Allocations are limited to the true capacity of workers. */
    CAPACITY
}
