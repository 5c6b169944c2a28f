package org.peridotcourse.daemon.platform;

import java.util.Locale;
import org.peridotcourse.Failure;

/** The reason why a call to the platform has no result. Constants are immutable and thread-safe. */
public enum StoreFailure implements Failure {
    /** The platform did not respond or reported a server error; a read may be retried. */
    UNAVAILABLE("the platform did not answer"),
    /** The response of the platform does not follow the protocol. */
    PROTOCOL("the platform's answer was not understood");

    private final String message;

    StoreFailure(String message) {
        this.message = message;
    }

    @Override
    public String code() {
        return "store-" + name().toLowerCase(Locale.ROOT);
    }

    @Override
    public String message() {
        return message;
    }
}
