package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * The identifier of a data centre.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of one
     *     part
     */
    public DataCentreId {
        StringId.check(value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of one part
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static DataCentreId of(String value) {
        return new DataCentreId(value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
