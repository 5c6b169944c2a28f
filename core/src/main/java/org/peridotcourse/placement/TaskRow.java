package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.TaskId;
import org.peridotcourse.WorkerId;

/**
 * A row of the table {@code tasks} with the key {@code <dataCentre>/<task>}.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param dataCentre the data centre whose owner may write the row
 * @param task the task
 * @param state the state
 * @param attempt number of the newest attempt, 0 before the first start
 * @param worker the worker of that attempt, empty unless it may be running
 * @param checkpoint the newest published checkpoint
 * @param size declared size of a replica, which has no job row; empty for tasks of jobs
 * @param epoch the epoch of the owner that wrote the row
 * @param commit the commit that wrote the row, 0 in a row to be written
 */
public record TaskRow(
        DataCentreId dataCentre,
        TaskId task,
        TaskState state,
        int attempt,
        Optional<WorkerId> worker,
        Optional<String> checkpoint,
        Optional<Resources> size,
        long epoch,
        long commit) {
    /**
     * Returns the key of the row.
     *
     * @return the key within the table {@code tasks}
     */
    public String key() {
        return key(dataCentre, task);
    }

    /**
     * Returns this row with the commit that wrote it.
     *
     * @param written the commit
     * @return the row as stored
     */
    public TaskRow withCommit(long written) {
        return new TaskRow(
                dataCentre, task, state, attempt, worker, checkpoint, size, epoch, written);
    }

    /**
     * Returns the key of a task's row.
     *
     * @param dataCentre the data centre
     * @param task the task
     * @return the key within the table {@code tasks}
     */
    public static String key(DataCentreId dataCentre, TaskId task) {
        return dataCentre.value() + "/" + task.value();
    }
}
