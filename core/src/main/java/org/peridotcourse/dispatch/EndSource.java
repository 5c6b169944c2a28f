package org.peridotcourse.dispatch;

import java.util.Locale;

/** How this owner knows that a run has ended; part of the log record of the end. */
enum EndSource {
    /** The worker listed the end. */
    REPORT,

    /** The worker has confirmed the start or the stop, and does not list the run any more. */
    MISSING,

    /** The lease of a worker that does not answer has expired. */
    LEASE,

    /** The worker reported as a later incarnation. */
    INCARNATION,

    /** Another worker answered at the address. */
    ADDRESS;

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
