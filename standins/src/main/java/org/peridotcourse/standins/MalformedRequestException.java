package org.peridotcourse.standins;

/** Thrown if a request does not conform to the stand-in's interface; mapped to status 400. */
final class MalformedRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
        super(message);
    }
}
