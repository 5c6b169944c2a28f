package org.peridotcourse.daemon.platform;

import java.util.Locale;
import org.peridotcourse.Failure;

/** Tells why a call to the platform has no result. Constants are immutable and thread-safe. */
public enum StoreFailure implements Failure {
    /** The platform did not answer; a read may be repeated. */
    UNAVAILABLE("the platform did not answer"),
    /** The platform answered with something that is not part of its protocol. */
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
