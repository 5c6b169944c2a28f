package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * The identifier of a worker.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record WorkerId(String value) implements Comparable<WorkerId> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of one
     *     part
     */
    public WorkerId {
        StringId.check(value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of one part
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static WorkerId of(String value) {
        return new WorkerId(value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
