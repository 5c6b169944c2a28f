package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Failure;

/**
 * Tells why the value of a row is not understood.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param message what is wrong
 */
public record MalformedRow(String message) implements Failure {
    @Override
    public String code() {
        return "row-malformed";
    }
}
