package org.peridotcourse.routing;

import org.peridotcourse.Failure;

/** Why a request was refused without having run. */
public enum NotRunReason implements Failure {
    /** The request is malformed. */
    MALFORMED(400, "malformed", "the request is not well-formed", false),
    /** There is no such customer. */
    UNKNOWN_CUSTOMER(404, "unknown-customer", "there is no such customer", false),
    /** There is no such service. */
    UNKNOWN_SERVICE(404, "unknown-service", "there is no such service", false),
    /** The request did not arrive in time. */
    SLOW_CALLER(408, "slow-caller", "the request did not arrive in time", false),
    /** The key belongs to another request. */
    KEY_REUSED(409, "key-reused", "the request key belongs to another request", false),
    /** The body is too long. */
    BODY_TOO_LARGE(413, "body-too-large", "the body exceeds the limit", false),
    /** The head is too long. */
    HEAD_TOO_LARGE(431, "head-too-large", "the head exceeds the limit", false),
    /** The customer exceeds its limit of requests per second. */
    CUSTOMER_RATE(429, "customer-rate", "the customer exceeds its request rate", true),
    /** The customer exceeds its limit of requests in flight. */
    CUSTOMER_IN_FLIGHT(429, "customer-in-flight", "the customer has too many requests", true),
    /** The request cannot start before its deadline. */
    OVERLOAD(503, "overload", "the request cannot start before its deadline", true),
    /** The deadline passed before the request was forwarded. */
    DEADLINE(503, "deadline", "the deadline passed before the request was forwarded", true),
    /** No backend server may receive the request. */
    NO_BACKEND(503, "no-backend", "no backend server may receive the request", true),
    /** No connection to a backend server could be opened. */
    CONNECT_FAILED(503, "connect-failed", "no backend server accepted a connection", true),
    /** The backend server reported that it did not run the request. */
    BACKEND_REFUSED(503, "backend-refused", "the backend server did not run it", true),
    /** The request key cannot be claimed because the store is unavailable. */
    STORE_UNAVAILABLE(503, "store-unavailable", "the request key cannot be claimed", true),
    /** It was not known by the deadline whether the claim of the request key was written. */
    CLAIM_UNSETTLED(503, "claim-unsettled", "the claim of the key is not settled", true),
    /** The caller closed its connection before the request was forwarded. */
    CALLER_GONE(503, "caller-gone", "the caller closed its connection", false),
    /** A bounded ring buffer between threads is full. */
    RING_FULL(503, "ring-full", "the entry host is overloaded", true),
    /** The bodies of requests and responses in memory have reached their limit. */
    BUFFERS_FULL(503, "buffers-full", "the entry host has no memory for the response", true),
    /** The entry host is stopping. */
    STOPPING(503, "stopping", "the entry host stops", true);

    private final int status;
    private final String code;
    private final String message;
    private final boolean retryUseful;

    NotRunReason(int status, String code, String message, boolean retryUseful) {
        this.status = status;
        this.code = code;
        this.message = message;
        this.retryUseful = retryUseful;
    }

    /**
     * Returns the HTTP status of the refusal.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    @Override
    public String code() {
        return code;
    }

    @Override
    public String message() {
        return message;
    }

    /**
     * Returns whether the same request may succeed later.
     *
     * @return true if the refusal carries a retry-after time
     */
    public boolean isRetryUseful() {
        return retryUseful;
    }
}
