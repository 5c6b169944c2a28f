package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.TaskId;

/** The owner's state of one task of its data centre. Confined to one thread. */
final class Task {
    /** Value of {@link #startClockMillis} before the start is acknowledged. */
    static final long NOT_ACKNOWLEDGED = -1;

    final Job job;
    final int index;
    TaskState state;
    int attempt;
    Worker worker;
    String checkpoint;
    long commit;

    /** Time at which a poll first returned it after another data centre had handed it over. */
    long receivedMillis = Long.MIN_VALUE / 2;

    /**
     * Whether a change of the row waits in the write buffer, is in flight or is being read back.
     */
    boolean rowChangePending;

    /** Number of the unanswered request with its start command, 0 for none. */
    long startRequest;

    /** Number of the unanswered request with its stop or checkpoint command, 0 for none. */
    long controlRequest;

    /** Reading of the worker's clock when it acknowledged the start. */
    long startClockMillis = NOT_ACKNOWLEDGED;

    /** Number of the attempt whose worker crashed just after the start, 0 for none. */
    int crashedAttempt;

    /** Number of the last handled report that listed it. */
    long lastReportNumber;

    long progress;
    long savedProgress;

    /** Time at which its newest checkpoint was written to its row. */
    long checkpointPublishedMillis = Long.MIN_VALUE / 2;

    UsageEstimate estimate = UsageEstimate.NONE;
    int throttlePercent = 100;

    /** Data centre to which it is handed over once it has stopped, null for none. */
    DataCentreId handoverTarget;

    Task(Job job, int index) {
        this.job = job;
        this.index = index;
        this.state = TaskState.QUEUED;
    }

    TaskId id() {
        return TaskId.of(job.key + "/" + index);
    }

    Optional<String> publishedCheckpoint() {
        return Optional.ofNullable(checkpoint);
    }

    long unsavedProgress() {
        return progress - savedProgress;
    }

    /** Resets the fields that concern the last attempt on a worker. */
    void resetAttempt() {
        startRequest = 0;
        controlRequest = 0;
        progress = 0;
        savedProgress = 0;
        startClockMillis = NOT_ACKNOWLEDGED;
        throttlePercent = 100;
        handoverTarget = null;
    }
}
