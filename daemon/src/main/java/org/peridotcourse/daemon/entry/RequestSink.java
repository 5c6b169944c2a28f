package org.peridotcourse.daemon.entry;

/**
 * Takes complete requests from the HTTP server. Implementations are thread-safe and do not block.
 */
interface RequestSink {
    /**
     * Takes a request and answers its caller later.
     *
     * @param request the request
     * @param caller its caller
     * @return false if there is no room; the request was not taken
     */
    boolean submit(CallerRequest request, Caller caller);

    /**
     * Takes the news that the caller of a submitted request closed its connection.
     *
     * @param request the identifier of the request
     */
    void onCallerDisconnected(String request);
}
