package org.peridotcourse.routing;

/** A request that the router holds. Mutable, confined to the router's thread. */
final class RoutedRequest {
    /** Where the request is. */
    enum Phase {
        /** Its key is being claimed. */
        CLAIMING,
        /** It waits for a backend server. */
        QUEUED,
        /** An attempt is handed over. */
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

    /** Server of the last attempt, which the next one avoids; null before the first attempt. */
    BackendServer lastServer;

    /** Connection of the last attempt, which never carries the request again. */
    long lastConnectionId;

    /** Server that the plain policy has drawn; null if none is drawn. */
    BackendServer selectedServer;

    /** Why an earlier attempt may have run; null if none may have. */
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
