package org.peridotcourse.daemon.entry;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

/** Log records about callers' requests. Constants are immutable and thread-safe. */
public enum RequestEvent implements Event {
    /** A request reached the router. */
    REQUEST_ACCEPTED(
            1000,
            "request.accepted",
            Level.DEBUG,
            "A complete request reached the router; fields request, customer, service, kind, key,"
                    + " deadline"),
    /** A request was written to a backend server. */
    REQUEST_ROUTED(
            1001,
            "request.routed",
            Level.DEBUG,
            "A request was forwarded; fields request, attempt, backend, connection"),
    /** A backend server's response went to the caller. */
    REQUEST_ANSWERED(
            1002,
            "request.answered",
            Level.DEBUG,
            "The caller received the complete response; fields request, status, millis, stored"),
    /** A request was refused. */
    REQUEST_REFUSED(
            1003,
            "request.refused",
            Level.INFO,
            "The request did not run; fields request, reason, retryAfter, millis"),
    /** The effect of a request is not known. */
    REQUEST_UNSETTLED(
            1004,
            "request.unsettled",
            Level.WARNING,
            "The request may have run; fields request, reason, millis"),
    /** An attempt failed. */
    ATTEMPT_FAILED(
            1005,
            "attempt.failed",
            Level.INFO,
            "An attempt has no complete response; fields request, attempt, connection, failure,"
                    + " handedOver"),
    /** A response carried another request's identifier. */
    RESPONSE_CROSSED(
            1006,
            "response.crossed",
            Level.WARNING,
            "A response with a wrong or missing identifier was dropped; fields request, found,"
                    + " backend, connection"),
    /** A connection to a backend server was opened. */
    CONNECTION_OPENED(
            1007,
            "connection.opened",
            Level.DEBUG,
            "A connection to a backend server is open; fields backend, connection"),
    /** A connection to a backend server could not be opened. */
    CONNECTION_REFUSED(
            1008,
            "connection.refused",
            Level.INFO,
            "A connection to a backend server could not be opened; fields backend, connection"),
    /** A connection to a backend server was closed. */
    CONNECTION_CLOSED(
            1009,
            "connection.closed",
            Level.DEBUG,
            "A connection to a backend server was closed; fields backend, connection, reason"),
    /** A backend server announced that it leaves. */
    BACKEND_LEAVING(
            1010,
            "backend.leaving",
            Level.INFO,
            "A response carried the header of a leaving backend server; fields backend, request"),
    /** The claim of a request key has a result. */
    KEY_CLAIMED(
            1011,
            "key.claimed",
            Level.DEBUG,
            "The claim of a request key has a result; fields request, customer, key, result"),
    /** It is unknown whether a write of request keys took effect. */
    KEY_UNSETTLED(
            1012,
            "key.unsettled",
            Level.WARNING,
            "A write of request keys had no response and is repeated; fields transaction, rows"),
    /** A response was not stored under its request key. */
    KEY_UNFINISHED(
            1013,
            "key.unfinished",
            Level.WARNING,
            "A response was not stored, so repeats of the key get 'unknown'; fields request,"
                    + " customer, key, reason"),
    /** A caller was too slow. */
    CALLER_SLOW(
            1014,
            "caller.slow",
            Level.INFO,
            "Requests that did not arrive in time were refused; fields count"),
    /** A job was submitted, read or cancelled. */
    JOB_CALLED(
            1015,
            "job.called",
            Level.INFO,
            "A call about a job was answered; fields request, job, method, status, reason"),
    /** A caller closed its connection early. */
    CALLER_GONE(
            1016,
            "caller.gone",
            Level.DEBUG,
            "The caller closed its connection before the response; fields request");

    private final EventInfo info;

    RequestEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
