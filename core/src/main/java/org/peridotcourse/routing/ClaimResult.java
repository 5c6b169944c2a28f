package org.peridotcourse.routing;

/** Result of claiming a request key in the store. */
public enum ClaimResult {
    /** This request owns the key. */
    CLAIMED,
    /** An earlier request with the key has completed; the daemon holds its stored response. */
    DONE,
    /** An earlier request with the key has no known result. */
    IN_PROGRESS,
    /** The key belongs to a different request. */
    REUSED,
    /** The claim got no response; the daemon finds out whether it was written and reports again. */
    UNSETTLED,
    /** The claim was not written because the store is unavailable. */
    STORE_UNAVAILABLE
}
