package org.peridotcourse;

import java.util.regex.Pattern;
import org.peridotcourse.base.InvalidIdException;

/**
 * The idempotency key of a request, so that the request is run at most once.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value 1 to 64 letters, digits, dots, underscores or hyphens
 */
public record RequestKey(String value) implements Comparable<RequestKey> {
    private static final Pattern KEY = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    /**
     * Checks the text.
     *
     * @throws InvalidIdException if the text is not a request key
     */
    public RequestKey {
        if (!isValid(value)) {
            throw new InvalidIdException(value);
        }
    }

    /**
     * Returns the key with the given text.
     *
     * @param value the text
     * @return the key
     * @throws InvalidIdException if the text is not valid
     */
    public static RequestKey of(String value) {
        return new RequestKey(value);
    }

    /**
     * Returns whether a text is a request key. Unlike an identifier, it may start with any of its
     * characters.
     *
     * @param text the text, may be null
     * @return true if it is valid
     */
    public static boolean isValid(String text) {
        return text != null && KEY.matcher(text).matches();
    }

    @Override
    public int compareTo(RequestKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
