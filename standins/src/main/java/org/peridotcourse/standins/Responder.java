package org.peridotcourse.standins;

/** Responds to one request, from any thread. Only the first call has an effect. */
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
     * @param reply the response to truncate
     */
    void sendTruncated(Reply reply);
}
