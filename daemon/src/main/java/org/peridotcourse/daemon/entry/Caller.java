package org.peridotcourse.daemon.entry;

/**
 * The caller of one request. Implementations are thread-safe.
 *
 * <p>Only the first response is sent; further ones are ignored.
 */
@FunctionalInterface
public interface Caller {
    /**
     * Sends the response. It does not block.
     *
     * @param response the response
     */
    void respond(CallerResponse response);
}
