package org.peridotcourse.routing;

/**
 * The properties of a complete response that routing depends on.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param notRun whether the backend server reported that the request did not run
 * @param retryAfterMillis the retry-after time of the response, 0 if it has none
 * @param leaving whether the backend server reported that it is leaving
 * @param reusable whether the connection may carry another request
 */
public record BackendResponse(
        int status, boolean notRun, long retryAfterMillis, boolean leaving, boolean reusable) {
    /**
     * Returns a complete response on a connection that may be reused.
     *
     * @param status the HTTP status
     * @return the response
     */
    public static BackendResponse of(int status) {
        return new BackendResponse(status, false, 0, false, true);
    }

    /**
     * Returns a response that reports that the request did not run.
     *
     * @param retryAfterMillis the retry-after time, 0 for none
     * @return the response
     */
    public static BackendResponse notRun(long retryAfterMillis) {
        return new BackendResponse(503, true, retryAfterMillis, false, true);
    }

    /**
     * Returns this response with the mark of a leaving backend server.
     *
     * @return the changed copy
     */
    public BackendResponse withLeaving() {
        return new BackendResponse(status, notRun, retryAfterMillis, true, reusable);
    }
}
