package org.peridotcourse.placement;

import java.util.List;
import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.WorkerId;

/**
 * An action that the daemon performs for the owner. Implementations are immutable and thread-safe.
 */
public sealed interface PlacementAction {
    /**
     * Writes rows in one transaction. The daemon answers with {@link
     * PlacementEvent.WriteCommitted}, {@link PlacementEvent.WriteConflict} or {@link
     * PlacementEvent.WriteUnknown}; after the last one the owner returns the same action again.
     *
     * @param id identifier of the write; the daemon uses it as the id of the transaction
     * @param checks commits that must be unchanged, among them that of the own lease row
     * @param taskPuts task rows to write
     * @param jobPuts job rows to write
     * @param taskDeletes keys of task rows to remove
     */
    record WriteRows(
            String id,
            List<RowCheck> checks,
            List<TaskRow> taskPuts,
            List<JobRow> jobPuts,
            List<String> taskDeletes)
            implements PlacementAction {
        /**
         * Returns the number of rows that change.
         *
         * @return puts and deletes
         */
        public int rows() {
            return taskPuts.size() + jobPuts.size() + taskDeletes.size();
        }
    }

    /**
     * A row that must have a given commit.
     *
     * @param table the table
     * @param key the key
     * @param commit the expected commit, 0 for an absent row
     */
    record RowCheck(String table, String key, long commit) {}

    /**
     * Reads single rows; the answer is {@link PlacementEvent.RowsRead} with the same number and
     * keys.
     *
     * @param number number of the request
     * @param taskKeys keys in the table {@code tasks}
     * @param jobKeys keys in the table {@code jobs}
     */
    record ReadRows(long number, List<String> taskKeys, List<String> jobKeys)
            implements PlacementAction {}

    /**
     * Reads all current task rows of a data centre; the answer is {@link
     * PlacementEvent.TaskRowsSeen} with {@code complete}. The read must start after this action was
     * returned.
     *
     * @param dataCentre the data centre
     */
    record ReadTasks(DataCentreId dataCentre) implements PlacementAction {}

    /**
     * Sends commands to a worker in one request. The answer is {@link
     * PlacementEvent.CommandsAnswered} or {@link PlacementEvent.CommandsFailed} with the same
     * number; a request must not be repeated.
     *
     * @param worker the worker
     * @param number number of the request
     * @param epoch the owner's epoch
     * @param clockMillis the worker's clock reading on which the leases are based; a worker whose
     *     clock shows less has restarted and must refuse the request
     * @param commands the commands, in order
     */
    record SendCommands(
            WorkerId worker,
            long number,
            long epoch,
            long clockMillis,
            List<WorkerCommand> commands)
            implements PlacementAction {}

    /**
     * Fetches a worker's report; the answer is {@link PlacementEvent.ReportReceived} or {@link
     * PlacementEvent.ReportFailed} with the same number. Every request needs one of them, at the
     * latest after a time-out.
     *
     * @param worker the worker
     * @param number number of the request
     */
    record FetchReport(WorkerId worker, long number) implements PlacementAction {}

    /**
     * Records a decision in the log and in the ring buffer for {@code explain}.
     *
     * @param subject the task, job or worker
     * @param decision what was decided, in kebab-case
     * @param worker the worker concerned
     * @param reason the reason, as text for people
     */
    record Decided(String subject, String decision, Optional<WorkerId> worker, String reason)
            implements PlacementAction {}
}
