package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * The identifier of a customer's service that backend servers offer.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of one
     *     part
     */
    public ServiceId {
        StringId.check(value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of one part
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static ServiceId of(String value) {
        return new ServiceId(value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
