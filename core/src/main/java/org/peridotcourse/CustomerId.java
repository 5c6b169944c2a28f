package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * The identifier of a customer.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of one
     *     part
     */
    public CustomerId {
        StringId.check(value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of one part
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static CustomerId of(String value) {
        return new CustomerId(value);
    }

    @Override
    public int compareTo(CustomerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
