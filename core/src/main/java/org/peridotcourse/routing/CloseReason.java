package org.peridotcourse.routing;

/** Why a connection to a backend server is closed. */
public enum CloseReason {
    /** Its request was abandoned or is overdue, so a late response may still arrive on it. */
    ABANDONED,
    /** It failed or its response was broken. */
    FAILED,
    /** It was silent for far longer than the backend server usually is. */
    SILENT,
    /** Its backend server leaves or is gone. */
    BACKEND_LEFT,
    /** It exceeds the share of this entry host or was idle for long. */
    SURPLUS
}
