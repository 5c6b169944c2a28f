package org.peridotcourse.dispatch;

/**
 * One scheduling decision of the owner, for the log.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param kind what was decided
 * @param subject the job, run, worker or epoch that the decision is about
 * @param worker id of the worker involved, empty for none
 * @param detail the inputs of the decision, as {@code key=value} pairs
 */
public record Decision(Kind kind, String subject, String worker, String detail) {
    /** Kinds of decisions. Constants are immutable and thread-safe. */
    public enum Kind {
        /** A job was read from the store. */
        JOB_KNOWN,
        /** A job ended. */
        JOB_ENDED,
        /**
         * A task has waited long; the detail counts workers by the reason why they cannot run it.
         */
        TASK_WAITS,
        /**
         * The start of a run is to be recorded before it is ordered, since its task may have
         * crashed a worker.
         */
        START_RECORDED,
        /** The start of a run was ordered. */
        RUN_ORDERED,
        /** A run that was not tracked was found on a worker and adopted. */
        RUN_ADOPTED,
        /** A run ended. */
        RUN_ENDED,
        /** A run is to be stopped. */
        RUN_STOPPED,
        /** An order was rejected or had no reply. */
        ORDER_FAILED,
        /**
         * Entries of a report could not be parsed, so no run that it does not list counts as ended.
         */
        REPORT_DAMAGED,
        /** A worker has reported, so tasks may be assigned to it. */
        WORKER_USABLE,
        /** A worker cannot be reached. */
        WORKER_LOST,
        /**
         * A worker has crashed; the detail names the tasks that had just started on it and may have
         * caused the crash.
         */
        WORKER_CRASHED,
        /** A worker was restarted and has a new incarnation. */
        WORKER_REBORN,
        /** The lease of an unreachable worker has expired, which ends its runs. */
        WORKER_LEASES_OVER,
        /** A worker is quarantined, and gets no tasks for a limited time. */
        WORKER_QUARANTINED,
        /** The tail response time of a serving task exceeded its target. */
        SERVING_SLOW,
        /** The pace of a filling task was changed to protect serving tasks. */
        FILL_PACED,
        /**
         * Every worker has reported or its lease has expired, so the reconciliation after a
         * takeover is complete.
         */
        CENSUS_COMPLETE,
        /** Tasks wait because of a limit of their customer. */
        CUSTOMER_AT_LIMIT,
        /** No task has waited because of a limit of its customer for a while. */
        CUSTOMER_BELOW_LIMIT,
        /** A worker has received a later epoch, so this owner stops. */
        DEPOSED
    }

    /** Receives decisions as they are made. Implementations must not block. */
    @FunctionalInterface
    public interface Sink {
        /**
         * Receives a decision.
         *
         * @param decision the decision
         */
        void onDecision(Decision decision);
    }
}
