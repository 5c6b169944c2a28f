package org.peridotcourse.routing;

import org.peridotcourse.base.StateChart;

/**
 * The claim of a request key by one request. The state transitions are defined in {@code
 * charts/key-claim.ini}. Confined to the router's thread.
 */
final class KeyClaim {
    private static final StateChart<State, Event> CHART =
            StateChart.load("key-claim", State.class, Event.class);

    /** State of the claim as seen by this entry host. */
    enum State {
        /** Nothing was sent to the store. */
        ABSENT,
        /** The claim was sent and has no response. */
        CLAIMING,
        /** The store's response was lost; the claim may have been written. */
        UNSETTLED,
        /** This request owns the key and has not been handed over. */
        CLAIMED,
        /** This request owns the key and may have run. */
        USED,
        /** The response is complete and is being stored under the key. */
        STORING,
        /** The claim remains in the store without a response. */
        KEPT,
        /** The claim is being removed. */
        RELEASING,
        /** This request does not own the key. */
        FOREIGN
    }

    /** Event in the life cycle of a claim. */
    enum Event {
        /** The claim is sent to the store. */
        CLAIM_SENT,
        /** The store confirmed the claim. */
        CLAIMED,
        /** The key has a stored response. */
        ANSWERED_BEFORE,
        /** Another request owns the key. */
        HELD_BY_OTHER,
        /** The store's response was lost. */
        UNSETTLED,
        /** It is certain that the claim was not written. */
        NOT_WRITTEN,
        /** The request is handed over. */
        HANDED_OVER,
        /** It is certain that no attempt of the request has run. */
        PROVED_NOT_RUN,
        /** The backend server's response is complete. */
        ANSWERED,
        /** The request has its final outcome. */
        ENDED
    }

    private State state = CHART.initial();

    State state() {
        return state;
    }

    /**
     * Applies an event.
     *
     * @return true if the event changed the state
     */
    boolean apply(Event event) {
        State before = state;
        state = CHART.next(before, event);
        return state != before;
    }

    /** Returns the event for a result of the store. */
    static Event eventOf(ClaimResult result) {
        return switch (result) {
            case CLAIMED -> Event.CLAIMED;
            case DONE -> Event.ANSWERED_BEFORE;
            case IN_PROGRESS, REUSED -> Event.HELD_BY_OTHER;
            case UNSETTLED -> Event.UNSETTLED;
            case STORE_UNAVAILABLE -> Event.NOT_WRITTEN;
        };
    }
}
