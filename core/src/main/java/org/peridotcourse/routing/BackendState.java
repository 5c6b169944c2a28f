package org.peridotcourse.routing;

/** Whether a backend server may receive requests, as its host list or the operators say. */
public enum BackendState {
    /** Receives requests. */
    LIVE(true),
    /** Finishes what it has and receives nothing new. */
    LEAVING(false),
    /** Its data centre is taken out; it receives nothing new. */
    OUT(false);

    private final boolean accepting;

    BackendState(boolean accepting) {
        this.accepting = accepting;
    }

    /**
     * Tells whether a backend server in this state receives new requests.
     *
     * @return true if it does
     */
    public boolean isAccepting() {
        return accepting;
    }
}
