package org.peridotcourse.routing;

/** A connection to a backend server. Mutable, confined to the router's thread. */
final class Connection {
    final long id;
    final BackendServer server;
    boolean open;

    /** The request on the connection; null while it is idle or being opened. */
    RoutedRequest request;

    long sentMillis;
    long lastByteMillis;
    boolean suspected;

    Connection(long id, BackendServer server, long now) {
        this.id = id;
        this.server = server;
        this.lastByteMillis = now;
    }

    long silentMillis(long now) {
        return now - Math.max(sentMillis, lastByteMillis);
    }
}
