package org.peridotcourse.daemon.peer;

import java.util.Locale;
import org.peridotcourse.Failure;

/** The reason why an exchange has no reply. Constants are immutable and thread-safe. */
public enum PeerFailure implements Failure {
    /** The other daemon could not be reached or did not reply in time. */
    UNREACHABLE("the other daemon did not reply"),
    /** The reply was malformed or too large. */
    PROTOCOL("the reply of the other daemon was not understood");

    private final String message;

    PeerFailure(String message) {
        this.message = message;
    }

    @Override
    public String code() {
        return "peer-" + name().toLowerCase(Locale.ROOT);
    }

    @Override
    public String message() {
        return message;
    }
}
