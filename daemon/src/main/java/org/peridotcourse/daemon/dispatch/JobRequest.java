package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.dispatch.JobSpec;

/** The request of a caller. Implementations are immutable and thread-safe. */
public sealed interface JobRequest
        permits JobRequest.Submit, JobRequest.Show, JobRequest.Cancel, JobRequest.CountPending {
    /**
     * Submits a job.
     *
     * @param id the id that the caller chose
     * @param spec the job
     * @param body the unchanged body of the call, which is what the store holds
     */
    record Submit(String id, JobSpec spec, byte[] body) implements JobRequest {}

    /**
     * Reads the state of a job.
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

    /** Reads the number of jobs of the queue that have not started. */
    record CountPending() implements JobRequest {}
}
