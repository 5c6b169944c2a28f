package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.base.Codes;
import org.peridotcourse.dispatch.JobState;

/** The answer to a caller. Implementations are immutable and thread-safe. */
public sealed interface JobAnswer
        permits JobAnswer.Accepted,
                JobAnswer.Refused,
                JobAnswer.Unsettled,
                JobAnswer.State,
                JobAnswer.Cancelled,
                JobAnswer.Unknown,
                JobAnswer.Withdrawn,
                JobAnswer.Pending,
                JobAnswer.NoQueue,
                JobAnswer.Unauthorized,
                JobAnswer.Malformed,
                JobAnswer.OtherJob {
    /** Why a call was not carried out. Constants are immutable and thread-safe. */
    enum Reason {
        /** This host has no configuration yet. */
        NO_CONFIGURATION,
        /** The host that forwarded the call has a newer configuration. */
        OLDER_CONFIGURATION,
        /** The store can be reached neither from this host nor from another one. */
        STORE_AWAY,
        /** The customer has cancelled too many ids that no job has. */
        TOO_MANY_CALLS;

        /**
         * Returns the code for logs and responses.
         *
         * @return lower-case words joined by hyphens
         */
        public String code() {
            return Codes.of(this);
        }
    }

    /** The job is stored. */
    record Accepted() implements JobAnswer {}

    /**
     * The call has no effect, now or later.
     *
     * @param reason why
     * @param retryAfterMillis the time after which the caller should retry
     */
    record Refused(Reason reason, long retryAfterMillis) implements JobAnswer {}

    /** The call may have taken effect; the caller may repeat it. */
    record Unsettled() implements JobAnswer {}

    /**
     * The state of a job.
     *
     * @param state the state
     */
    record State(JobState state) implements JobAnswer {}

    /** The job is cancelled or has ended. */
    record Cancelled() implements JobAnswer {}

    /**
     * There is no such job. As the answer to a cancellation, it also says that no submission which
     * was sent before takes effect any more; as the answer to a request for the state, it says
     * nothing about submissions without an answer.
     */
    record Unknown() implements JobAnswer {}

    /** The job was cancelled before it was accepted, so it is not accepted and never runs. */
    record Withdrawn() implements JobAnswer {}

    /**
     * The number of jobs of a queue that have not started.
     *
     * @param count the number
     */
    record Pending(int count) implements JobAnswer {}

    /** There is no such queue. */
    record NoQueue() implements JobAnswer {}

    /** The call carries no valid API key. */
    record Unauthorized() implements JobAnswer {}

    /**
     * The call is malformed.
     *
     * @param message what is wrong
     */
    record Malformed(String message) implements JobAnswer {}

    /** Another job already has the id. */
    record OtherJob() implements JobAnswer {}
}
