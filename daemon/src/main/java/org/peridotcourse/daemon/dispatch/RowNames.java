package org.peridotcourse.daemon.dispatch;

/** Names of the product's own rows in the platform's store. It holds no state. */
final class RowNames {
    /** The part of all rows of one group of workers. */
    static final String PART = "main";

    /** Bodies of jobs that have not ended, by id. */
    static final String JOBS = "jobs";

    /** Progress of jobs, by id; kept after their end. */
    static final String PROGRESS = "progress";

    /** Cancellations that the owner has not carried out, by id. */
    static final String CANCELS = "cancels";

    /** Rows about the ownership. */
    static final String DUTIES = "duties";

    /** The lease row of the owner, rewritten with each renewal. */
    static final String OWNER_KEY = "owner";

    /** Changes with each owner only, so that every write of an owner can check it. */
    static final String EPOCH_KEY = "epoch";

    /** Jobs that have not begun, by queue; written with each renewal of the lease. */
    static final String PENDING_KEY = "pending";

    /** What the owner has learned; not in the range that all hosts poll. */
    static final String LEARNED_KEY = "learned";

    /** Holders before the present owner that may still give orders. */
    static final String EARLIER_KEY = "earlier";

    /** Workers that may run tasks of the owner, by id, for its successor. */
    static final String FLEET = "fleet";

    /** Hosts by name. */
    static final String HOSTS = "hosts";

    private RowNames() {}
}
