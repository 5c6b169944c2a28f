package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * The identifier of a job, of the form {@code customer/job}.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record JobId(String value) implements Comparable<JobId> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of two
     *     parts
     */
    public JobId {
        StringId.checkParts(value, 2);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of two parts
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static JobId of(String value) {
        return new JobId(value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
