package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * The identifier of a daemon, unique within its deployment.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record DaemonId(String value) implements Comparable<DaemonId> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of one
     *     part
     */
    public DaemonId {
        StringId.check(value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of one part
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static DaemonId of(String value) {
        return new DaemonId(value);
    }

    @Override
    public int compareTo(DaemonId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
