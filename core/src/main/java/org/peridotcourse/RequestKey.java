package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * Names a request for the purpose of running it at most once.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record RequestKey(String value) implements Comparable<RequestKey> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of one
     *     part
     */
    public RequestKey {
        StringId.check(value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of one part
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static RequestKey of(String value) {
        return new RequestKey(value);
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
