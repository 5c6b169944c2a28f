package org.peridotcourse.placement;

import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.TaskId;

/** What the owner knows of one task of its data centre. Confined to one thread. */
final class Task {
    /** The worker's clock at the start is not known. */
    static final long NOT_ACKNOWLEDGED = -1;

    final Job job;
    final int index;
    TaskState state;
    int attempt;
    Worker worker;
    String checkpoint;
    long commit;

    /** When another data centre handed it over to this one. */
    long receivedMillis = Long.MIN_VALUE / 2;

    /** A change of the row is collected, in flight or being read back. */
    boolean rowChangePending;

    /** Number of the outstanding request that carries its start, 0 for none. */
    long startRequest;

    /** Number of the outstanding request that carries its stop or checkpoint, 0 for none. */
    long controlRequest;

    /** The worker's clock when it acknowledged the start. */
    long startClockMillis = NOT_ACKNOWLEDGED;

    /** Number of the last report that listed it. */
    long lastReportNumber;

    long progress;
    long savedProgress;

    /** When its newest checkpoint was published. */
    long checkpointPublishedMillis = Long.MIN_VALUE / 2;

    UsageEstimate estimate = UsageEstimate.NONE;
    int throttlePercent = 100;

    /** Where it shall continue once it is stopped, null for this data centre. */
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

    /** Forgets what concerns the last attempt on its worker. */
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
