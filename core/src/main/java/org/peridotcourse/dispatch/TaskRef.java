package org.peridotcourse.dispatch;

import java.util.Optional;

/**
 * Identifies a task by its job, occurrence, step and index. Numbers are counted from 0.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param job the id of the job
 * @param occurrence the number of the occurrence of a repeated job, 0 for other jobs
 * @param step the number of the step
 * @param index the number of the task within its step
 */
public record TaskRef(String job, int occurrence, int step, int index) {
    private static final int PARTS = 4;

    /**
     * Parses the form that {@link #toString} returns.
     *
     * @param text the text
     * @return the reference, or empty if the text is malformed
     */
    public static Optional<TaskRef> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS || parts[0].isEmpty()) {
            return Optional.empty();
        }
        try {
            TaskRef task =
                    new TaskRef(
                            parts[0],
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]),
                            Integer.parseInt(parts[3]));
            boolean negative = task.occurrence < 0 || task.step < 0 || task.index < 0;
            return negative ? Optional.empty() : Optional.of(task);
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }

    /**
     * Returns the name of the step, as {@code job.occurrence.step}.
     *
     * @return the name
     */
    public String toStepName() {
        return job + '.' + occurrence + '.' + step;
    }

    @Override
    public String toString() {
        return toStepName() + '.' + index;
    }
}
