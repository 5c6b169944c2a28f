package org.peridotcourse.daemon.dispatch;

/** Names of the product's own rows in the platform's store. It holds no state. */
final class RowNames {
    /** The part of all rows of one group of workers. */
    static final String PART = "main";

    /** Jobs that have not ended, by id. */
    static final String JOBS = "jobs";

    /** Progress of jobs, by id; retained after their end. */
    static final String PROGRESS = "progress";

    /** Cancellations that the owner has not processed, by id. */
    static final String CANCELS = "cancels";

    /**
     * Ids that were cancelled while no job had them. No job is accepted under such an id, since a
     * submission that was sent before the cancellation may still reach the store.
     */
    static final String WITHDRAWN = "withdrawn";

    /** Rows about the ownership. */
    static final String DUTIES = "duties";

    /** The lease row of the owner, rewritten with each renewal. */
    static final String OWNER_KEY = "owner";

    /**
     * Rewritten only by a change of the owner, so that every write of an owner can check its
     * version (fencing token).
     */
    static final String EPOCH_KEY = "epoch";

    /** Numbers of jobs that have not started, by queue; written with each renewal of the lease. */
    static final String PENDING_KEY = "pending";

    /** Model snapshot of the owner; not in the range that all hosts poll. */
    static final String LEARNED_KEY = "learned";

    /** Holders of earlier epochs that may still send orders. */
    static final String EARLIER_KEY = "earlier";

    /** Workers that may run tasks of the owner, by id, for the next owner. */
    static final String FLEET = "fleet";

    /** Hosts by name. */
    static final String HOSTS = "hosts";

    private RowNames() {}
}
