package org.peridotcourse.daemon.control;

import org.peridotcourse.Failure;

/** Reasons why a text cannot be read as a row. Constants are immutable and thread-safe. */
enum RowFormatFailure implements Failure {
    /** The text is not a JSON object. */
    NOT_AN_OBJECT;

    @Override
    public String code() {
        return "not-an-object";
    }

    @Override
    public String message() {
        return "the value of the row is not a JSON object";
    }
}
