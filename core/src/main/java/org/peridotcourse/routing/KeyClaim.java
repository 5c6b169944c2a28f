package org.peridotcourse.routing;

import org.peridotcourse.base.StateChart;

/**
 * The claim of a request key by one request. Its chart is {@code charts/key-claim.ini}. Confined to
 * the router's thread.
 */
final class KeyClaim {
    private static final StateChart<State, Event> CHART =
            StateChart.load("key-claim", State.class, Event.class);

    /** What is known of the claim. */
    enum State {
        /** Nothing was sent to the store. */
        ABSENT,
        /** The claim was sent and has no response. */
        CLAIMING,
        /** The store's response is lost. */
        UNSETTLED,
        /** This request owns the key and is not handed over. */
        CLAIMED,
        /** This request owns the key and may have run. */
        USED,
        /** The response is being stored under the key. */
        STORING,
        /** The claim stays without a response. */
        KEPT,
        /** The claim is being removed. */
        RELEASING,
        /** The key is not owned by this request. */
        FOREIGN
    }

    /** What happens to a claim. */
    enum Event {
        /** The claim goes to the store. */
        CLAIM_SENT,
        /** The store confirmed the claim. */
        CLAIMED,
        /** The key has a stored response. */
        ANSWERED_BEFORE,
        /** Another request owns the key. */
        HELD_BY_OTHER,
        /** The store's response is lost. */
        UNSETTLED,
        /** The claim was certainly not written. */
        NOT_WRITTEN,
        /** The request is handed over. */
        HANDED_OVER,
        /** No hand-over of the request had an effect. */
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

    /** Returns the event for what the store said. */
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
