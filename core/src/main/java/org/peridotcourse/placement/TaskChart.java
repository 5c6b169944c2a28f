package org.peridotcourse.placement;

import org.peridotcourse.base.StateChart;

/** State machine of a task, read from {@code charts/task.ini}. Stateless and thread-safe. */
final class TaskChart {
    private static final StateChart<TaskState, TaskEvent> CHART =
            StateChart.load("task", TaskState.class, TaskEvent.class);

    private TaskChart() {}

    /** Returns the state after an event, the same state if it ignores the event. */
    static TaskState next(TaskState state, TaskEvent event) {
        return CHART.next(state, event);
    }
}
