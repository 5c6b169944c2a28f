package org.peridotcourse.standins;

/** Handles the requests of a stand-in. Implementations are thread-safe. */
@FunctionalInterface
interface Handler {
    /**
     * Handles a request, either before this method returns or later.
     *
     * @param request the request
     * @param responder sends the response
     */
    void handle(IncomingRequest request, Responder responder);
}
