package org.peridotcourse.standins;

/** Ends one request, on any thread. Only the first call has an effect. */
interface Responder {
    /**
     * Sends a complete response.
     *
     * @param reply the response
     */
    void send(Reply reply);

    /** Closes the connection without a response. */
    void abort();

    /**
     * Sends the head and half of the body, then closes the connection.
     *
     * @param reply the response of which a part is sent
     */
    void sendTruncated(Reply reply);
}
