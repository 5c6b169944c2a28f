package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Failure;

/**
 * The failure to parse the value of a row.
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
