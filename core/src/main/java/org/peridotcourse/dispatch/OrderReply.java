package org.peridotcourse.dispatch;

/** How a worker replied to an order or a lease call. Constants are immutable and thread-safe. */
public enum OrderReply {
    /** Carried out. */
    ACCEPTED,
    /** Rejected: the worker lacks free capacity. */
    NO_ROOM,
    /** Rejected: the worker has received a later epoch. */
    STALE_EPOCH,
    /** Rejected: this attempt or a later one has ended or was stopped on the worker. */
    OLD_ATTEMPT,
    /** Rejected: the lease in the order has expired. */
    LEASE_PAST,
    /** Rejected: the ticket is missing or invalid. */
    NO_TICKET,
    /** Rejected: the order is malformed or names a run that does not exist. */
    MALFORMED,
    /** Rejected: the worker is unhealthy and has not carried out the order. */
    UNHEALTHY,
    /** Rejected: another incarnation of the worker, or another worker, has the address. */
    OTHER_LIFE,
    /** The worker refused the connection, so that the order was not sent. */
    NOT_SENT,
    /** The order was not sent within its time-out, which says nothing about the worker. */
    EXPIRED,
    /** No reply: the order may have been carried out, or may still be. */
    UNANSWERED
}
