package org.peridotcourse.dispatch;

/**
 * One decision of the owner, for the log.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param kind what was decided
 * @param subject the job, the run or the worker
 * @param worker the worker involved, empty for none
 * @param detail the inputs that decided, as {@code key=value} pairs
 */
public record Decision(Kind kind, String subject, String worker, String detail) {
    /** What was decided. Constants are immutable and thread-safe. */
    public enum Kind {
        /** A job was taken over from the store. */
        JOB_KNOWN,
        /** A job ended. */
        JOB_ENDED,
        /** A task has waited long; its detail counts workers by what keeps them from it. */
        TASK_WAITS,
        /** A run was ordered. */
        RUN_ORDERED,
        /** A run was found on a worker. */
        RUN_ADOPTED,
        /** A run ended. */
        RUN_ENDED,
        /** A run is to be stopped. */
        RUN_STOPPED,
        /** An order was refused or had no answer. */
        ORDER_FAILED,
        /** Entries of a report could not be read, so that no run counts as missing. */
        REPORT_DAMAGED,
        /** A worker can be used. */
        WORKER_USABLE,
        /** A worker cannot be reached. */
        WORKER_LOST,
        /** A worker started a new life. */
        WORKER_REBORN,
        /** All leases of an unreachable worker have run out. */
        WORKER_LEASES_OVER,
        /** A worker gets no tasks for a while. */
        WORKER_QUARANTINED,
        /** The response times of a serving task went over their bound. */
        SERVING_SLOW,
        /** The pace of a filling task changed. */
        FILL_PACED,
        /** All runs of earlier owners are known. */
        CENSUS_COMPLETE,
        /** The limit of a customer holds work back. */
        CUSTOMER_AT_LIMIT,
        /** The limit of a customer has held nothing back for a while. */
        CUSTOMER_BELOW_LIMIT,
        /** A later owner exists. */
        DEPOSED
    }

    /** Takes decisions as they are made. Implementations must not block. */
    @FunctionalInterface
    public interface Sink {
        /**
         * Takes a decision.
         *
         * @param decision the decision
         */
        void decided(Decision decision);
    }
}
