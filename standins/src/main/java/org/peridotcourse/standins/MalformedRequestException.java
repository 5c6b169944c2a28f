package org.peridotcourse.standins;

/** Reports a request that is not part of the stand-in's interface. Answered with status 400. */
final class MalformedRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
        super(message);
    }
}
