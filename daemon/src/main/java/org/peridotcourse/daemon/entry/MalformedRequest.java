package org.peridotcourse.daemon.entry;

import org.peridotcourse.Failure;

/**
 * Describes what is wrong with a request. Instances are immutable and thread-safe.
 *
 * @param message a sentence for the caller
 */
record MalformedRequest(String message) implements Failure {
    @Override
    public String code() {
        return "malformed";
    }
}
