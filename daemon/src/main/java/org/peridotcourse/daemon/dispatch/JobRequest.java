package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.dispatch.JobSpec;

/** What a caller asks for. Implementations are immutable and thread-safe. */
public sealed interface JobRequest
        permits JobRequest.Submit, JobRequest.Show, JobRequest.Cancel, JobRequest.CountPending {
    /**
     * Hands a job in.
     *
     * @param id the id that the caller chose
     * @param spec the job
     * @param body the body as it arrived, which is what the store keeps
     */
    record Submit(String id, JobSpec spec, byte[] body) implements JobRequest {}

    /**
     * Asks for the state of a job.
     *
     * @param id the id of the job
     */
    record Show(String id) implements JobRequest {}

    /**
     * Cancels a job.
     *
     * @param id the id of the job
     */
    record Cancel(String id) implements JobRequest {}

    /** Asks for the number of jobs of the queue that have not begun. */
    record CountPending() implements JobRequest {}
}
