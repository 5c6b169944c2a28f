package org.peridotcourse.routing;

/**
 * Whether a backend server may receive requests, according to the host list and the configuration.
 */
public enum BackendState {
    /** Receives requests. */
    LIVE(true),
    /** Completes its running requests and receives no new ones. */
    LEAVING(false),
    /** Its data centre is out of service by configuration; it receives no new requests. */
    OUT(false);

    private final boolean accepting;

    BackendState(boolean accepting) {
        this.accepting = accepting;
    }

    /**
     * Returns whether a backend server in this state receives new requests.
     *
     * @return true if it does
     */
    public boolean isAccepting() {
        return accepting;
    }
}
