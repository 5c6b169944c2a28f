package org.peridotcourse.routing;

import org.peridotcourse.BackendId;
import org.peridotcourse.CustomerId;
import org.peridotcourse.RequestKey;

/** An action that the daemon performs. Actions are performed in the order of the returned list. */
public sealed interface RoutingAction {
    /**
     * Open a connection, then report {@link RequestRouter#onConnected} or {@link
     * RequestRouter#onConnectFailed}. Nothing is written before a {@link Forward}.
     *
     * @param connection number of the new connection, unique for this router
     * @param backend where to connect
     */
    record Connect(long connection, BackendId backend) implements RoutingAction {}

    /**
     * Write a request to an open, idle connection.
     *
     * @param request the request
     * @param attempt number of the attempt, from 1
     * @param backend the backend server
     * @param connection the open connection
     */
    record Forward(String request, int attempt, BackendId backend, long connection)
            implements RoutingAction {}

    /**
     * Close a connection that is open or being opened. No further event of it is needed.
     *
     * @param connection the connection
     * @param backend its backend server
     * @param reason the reason, for the log
     */
    record CloseConnection(long connection, BackendId backend, CloseReason reason)
            implements RoutingAction {}

    /**
     * Send the final outcome to the caller. An answered outcome carries the response that the
     * daemon holds: that of the last {@link RequestRouter#onResponse}, or the stored one.
     *
     * @param request the request
     * @param outcome the outcome
     */
    record Finish(String request, Outcome outcome) implements RoutingAction {}

    /**
     * Claim a request key by conditional insert, then report {@link RequestRouter#onClaimResult}.
     *
     * @param request the request
     * @param customer the customer of the key
     * @param key the key
     */
    record ClaimKey(String request, CustomerId customer, RequestKey key) implements RoutingAction {}

    /**
     * Remove the claim of a key, if this daemon wrote it. An unsettled claim is resolved first.
     *
     * @param request the request
     * @param customer the customer of the key
     * @param key the key
     */
    record ReleaseKey(String request, CustomerId customer, RequestKey key)
            implements RoutingAction {}

    /**
     * Write the response of the last {@link RequestRouter#onResponse} under its key.
     *
     * @param request the request
     * @param customer the customer of the key
     * @param key the key
     */
    record StoreResponse(String request, CustomerId customer, RequestKey key)
            implements RoutingAction {}
}
