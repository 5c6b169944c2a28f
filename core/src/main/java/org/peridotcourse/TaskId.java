package org.peridotcourse;

import org.peridotcourse.base.StringId;

/**
 * The identifier of a task, of the form {@code customer/job/index}.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param value the text of the identifier
 */
public record TaskId(String value) implements Comparable<TaskId> {
    /**
     * Checks the text.
     *
     * @throws org.peridotcourse.base.InvalidIdException if the text is not an identifier of three
     *     parts
     */
    public TaskId {
        StringId.checkParts(value, 3);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value an identifier of three parts
     * @return the identifier
     * @throws org.peridotcourse.base.InvalidIdException if the text is not valid
     */
    public static TaskId of(String value) {
        return new TaskId(value);
    }

    @Override
    public int compareTo(TaskId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
