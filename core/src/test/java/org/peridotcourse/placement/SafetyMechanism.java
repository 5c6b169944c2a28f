package org.peridotcourse.placement;

/** A mechanism that a test can turn off to see what then goes wrong. */
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
    /** Another data centre waits for the hold before a takeover. */
    HOLD,
    /** Starts need a recent proof of the configuration. */
    CONFIG_FRESHNESS,
    /** The ledger knows the true capacity. */
    CAPACITY
}
