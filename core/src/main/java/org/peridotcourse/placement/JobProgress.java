package org.peridotcourse.placement;

import java.util.List;
import java.util.Optional;
import org.peridotcourse.DataCentreId;

/** Computes the progress of a job after a group of changes. Stateless and thread-safe. */
final class JobProgress {
    private JobProgress() {}

    static JobRow.Progress after(Job job, List<RowChange> changes) {
        JobRow.Progress old = job.row.progress();
        int finished = old.finished();
        int cancelled = old.cancelled();
        int created = old.created();
        JobState state = old.state();
        Optional<String> reason = old.reason();
        Optional<DataCentreId> claim = old.dataCentre();
        for (RowChange change : changes) {
            if (change.job != job) {
                continue;
            }
            finished += change.finishedTasks;
            cancelled += change.cancelledTasks;
            created = Math.max(created, change.createTo);
            if (change.jobState != null) {
                state = change.jobState;
                reason = Optional.ofNullable(change.reason);
            }
            if (change.creationClaim != null) {
                claim = change.creationClaim;
            }
        }
        if (finished + cancelled >= job.row.spec().tasks() && state != JobState.REFUSED) {
            state = cancelled > 0 ? JobState.CANCELLED : JobState.FINISHED;
            created = job.row.spec().tasks();
        }
        return new JobRow.Progress(state, claim, created, finished, cancelled, reason);
    }
}
