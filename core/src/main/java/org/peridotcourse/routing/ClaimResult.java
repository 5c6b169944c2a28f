package org.peridotcourse.routing;

/** What the store said about the claim of a request key. */
public enum ClaimResult {
    /** This request owns the key. */
    CLAIMED,
    /** An earlier request with the key is done; the daemon holds its stored response. */
    DONE,
    /** An earlier request with the key has no known result. */
    IN_PROGRESS,
    /** The key belongs to a different request. */
    REUSED,
    /** The claim got no response; the daemon resolves it and reports again. */
    UNSETTLED,
    /** The claim was not written because the store is unavailable. */
    STORE_UNAVAILABLE
}
