package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * The identifier of a backend server.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record BackendId(String value) implements Comparable<BackendId> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of one
     *     part
     */
    public BackendId {
        StringId.check(value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of one part
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static BackendId of(String value) {
        return new BackendId(value);
    }

    @Override
    public int compareTo(BackendId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
