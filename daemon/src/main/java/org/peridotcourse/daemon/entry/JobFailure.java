package org.peridotcourse.daemon.entry;

import org.peridotcourse.Failure;

/** Why a call about a job was refused. Constants are immutable and thread-safe. */
enum JobFailure implements Failure {
    /** A different job has this name. */
    NAME_TAKEN(409, "job-name-taken", "a different job has this name", 0, "not-run"),
    /** The job was cancelled before it was accepted. */
    WITHDRAWN(409, "job-withdrawn", "the job was cancelled before it was accepted", 0, "not-run"),
    /** The customer is not configured. */
    UNKNOWN_CUSTOMER(404, "unknown-customer", "there is no such customer", 0, "not-run"),
    /** There is no such job. */
    UNKNOWN_JOB(404, "unknown-job", "there is no such job", 0, "not-run"),
    /** The method is not supported for jobs. */
    METHOD(400, "malformed", "the method must be PUT, GET or DELETE", 0, "not-run"),
    /** Nothing was written. */
    STORE_UNAVAILABLE(
            503, "store-unavailable", "the table service does not answer", 1_000, "not-run"),
    /** The write may have taken effect; the same call may be repeated safely. */
    STORE_UNSETTLED(
            503,
            "store-unsettled",
            "the table service did not confirm the write; repeat the same call",
            1_000,
            "unknown"),
    /** Placement owners changed the row between each read and write. */
    CONTENTION(503, "row-contention", "the row changes too often", 200, "not-run");

    private final int status;
    private final String code;
    private final String message;
    private final long retryAfterMillis;
    private final String outcome;

    JobFailure(int status, String code, String message, long retryAfterMillis, String outcome) {
        this.status = status;
        this.code = code;
        this.message = message;
        this.retryAfterMillis = retryAfterMillis;
        this.outcome = outcome;
    }

    @Override
    public String code() {
        return code;
    }

    @Override
    public String message() {
        return message;
    }

    CallerResponse toResponse(String request) {
        return Responses.refusal(request, status, outcome, this, retryAfterMillis);
    }
}
