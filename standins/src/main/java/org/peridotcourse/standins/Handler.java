package org.peridotcourse.standins;

/** Handles the requests of a stand-in. Implementations are thread-safe. */
@FunctionalInterface
interface Handler {
    /**
     * Handles a request now or later.
     *
     * @param request the request
     * @param responder ends the request
     */
    void handle(IncomingRequest request, Responder responder);
}
