package org.peridotcourse.dispatch;

/** How a worker answered an order. Constants are immutable and thread-safe. */
public enum OrderReply {
    /** Carried out. */
    ACCEPTED,
    /** Refused: the worker has no room. */
    NO_ROOM,
    /** Refused: the worker has seen a later owner. */
    STALE_EPOCH,
    /** Refused: this start or a later one ended or was stopped there. */
    OLD_ATTEMPT,
    /** Refused: the lease of the order has run out. */
    LEASE_PAST,
    /** Refused: the ticket is missing or not valid. */
    NO_TICKET,
    /** Refused: the order is malformed or names nothing. */
    MALFORMED,
    /** Refused by an unhealthy worker, which has done nothing. */
    UNHEALTHY,
    /** Refused: another life of the worker, or another worker, has the address. */
    OTHER_LIFE,
    /** No connection; the order was not sent. */
    NOT_SENT,
    /** No answer; the order may have been carried out, or may still be. */
    UNANSWERED
}
