package org.peridotcourse.routing;

/** Why a connection to a backend server is closed. */
public enum CloseReason {
    /** Its request was abandoned or is overdue, so a late response may still arrive on it. */
    ABANDONED,
    /** It failed or its response was broken. */
    FAILED,
    /** No bytes arrived on it for far longer than the usual latency of the backend server. */
    SILENT,
    /** Its backend server is leaving or has left. */
    BACKEND_LEFT,
    /** It exceeds the share of connections of this entry host. */
    SURPLUS
}
