package org.peridotcourse.daemon.entry;

import java.util.Optional;
import org.peridotcourse.CustomerId;
import org.peridotcourse.RequestKey;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.routing.ClaimResult;

/**
 * Claims request keys, releases them and stores responses. Implementations are thread-safe and do
 * not block.
 */
interface RequestKeyStore {
    /** Receives the results of claims; called on any thread. */
    @FunctionalInterface
    interface Listener {
        /**
         * Receives the result of a claim.
         *
         * @param request the request
         * @param result the result
         * @param stored the stored response if the result is {@code DONE}
         */
        void onClaimResult(String request, ClaimResult result, Optional<CallerResponse> stored);
    }

    /**
     * The claim of a request on its key.
     *
     * @param request the request
     * @param customer the customer of the key
     * @param key the key
     * @param fingerprint hash of the request, which reveals a different request with the same key
     */
    record Claim(String request, CustomerId customer, RequestKey key, String fingerprint) {
        String rowKey() {
            return customer + "/" + key;
        }
    }

    /** Claims a key and reports the result to the listener; returns false if the ring is full. */
    boolean claim(Claim claim);

    /** Removes the claim of a request that was not forwarded. */
    void release(Claim claim);

    /**
     * Stops tracking a claim. The claim stays in the store, because the effect of its request is
     * unknown.
     */
    void forget(String request);

    /** Stores the response of a request whose claim is confirmed. */
    void store(Claim claim, HttpReply reply);
}
