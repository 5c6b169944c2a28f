package org.peridotcourse.base;

/**
 * Reports a text that is not a valid identifier.
 *
 * <p>Code that reads untrusted input calls {@link StringId#isValid} first, so this exception
 * indicates a programming error. Instances are immutable.
 */
public final class InvalidIdException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param text the invalid text
     */
    public InvalidIdException(String text) {
        super("not a valid identifier: '" + text + "'");
    }
}
