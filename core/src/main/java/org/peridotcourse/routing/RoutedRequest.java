package org.peridotcourse.routing;

/** A request with its routing state. Mutable, confined to the router's thread. */
final class RoutedRequest {
    /** Phase of a request. */
    enum Phase {
        /** Its key is being claimed. */
        CLAIMING,
        /** It waits for a backend server. */
        QUEUED,
        /** An attempt is in progress on a connection. */
        FORWARDED,
        /** It has its final outcome. */
        FINISHED
    }

    final RequestInfo info;
    final CustomerState customer;
    final ServicePool pool;
    final long receivedMillis;
    final KeyClaim claim = new KeyClaim();
    Phase phase = Phase.QUEUED;
    int attempts;
    Connection connection;

    /** Server of the last attempt, which the next attempt avoids; null before the first attempt. */
    BackendServer lastServer;

    /** Connection of the last attempt, which never carries the request again. */
    long lastConnectionId;

    /** Server selected by the random policy; null if none is selected. */
    BackendServer selectedServer;

    /** Why an earlier attempt may have run; null if it is certain that none has run. */
    UnknownReason unknownReason;

    RoutedRequest(RequestInfo info, CustomerState customer, ServicePool pool, long now) {
        this.receivedMillis = now;
        this.info = info;
        this.customer = customer;
        this.pool = pool;
    }

    boolean occupiesSlot() {
        return info.kind().occupiesSlot();
    }

    boolean isRepeatable() {
        return info.kind().isRepeatable();
    }
}
