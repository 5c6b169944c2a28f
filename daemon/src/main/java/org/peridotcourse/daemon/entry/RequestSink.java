package org.peridotcourse.daemon.entry;

/**
 * Receives complete requests from the HTTP server. Implementations are thread-safe and do not
 * block.
 */
interface RequestSink {
    /**
     * Accepts a request, whose response is sent to the caller later.
     *
     * @param request the request
     * @param caller its caller
     * @return false if the request was not accepted because there is no room for it
     */
    boolean submit(CallerRequest request, Caller caller);

    /**
     * Reports that the caller of a submitted request closed its connection.
     *
     * @param request the identifier of the request
     */
    void onCallerDisconnected(String request);
}
