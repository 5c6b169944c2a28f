package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * The identifier of a workload, of the form {@code customer/name}.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record WorkloadId(String value) implements Comparable<WorkloadId> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of two
     *     parts
     */
    public WorkloadId {
        StringId.checkParts(value, 2);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of two parts
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static WorkloadId of(String value) {
        return new WorkloadId(value);
    }

    @Override
    public int compareTo(WorkloadId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
