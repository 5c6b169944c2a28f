package org.peridotcourse.base;

/**
 * Reports a text that is not a valid identifier.
 *
 * <p>Code that reads untrusted input asks {@link StringId#isValid} first; this exception marks a
 * programming error. Instances are immutable.
 */
public final class InvalidIdException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param text the refused text
     */
    public InvalidIdException(String text) {
        super("not a valid identifier: '" + text + "'");
    }
}
