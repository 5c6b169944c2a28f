package org.peridotcourse.placement;

import java.util.List;
import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkerId;
import org.peridotcourse.base.LeaseRow;

/** An event that the owner handles. Implementations are immutable. */
public sealed interface PlacementEvent {
    /**
     * A write of the own lease row was confirmed. A new epoch, or a lease that had expired, makes
     * the owner read all rows again.
     *
     * @param row the row as written
     * @param commit its commit
     * @param sentMillis time at which the write was first sent
     * @param earlierHoldMillis hold of the row that was replaced; 0 if there was none
     */
    record LeaseConfirmed(LeaseRow row, long commit, long sentMillis, long earlierHoldMillis)
            implements PlacementEvent {}

    /** Another daemon holds the lease, or the own lease was released. */
    record LeaseLost() implements PlacementEvent {}

    /**
     * The configuration, or a confirmation that it is unchanged.
     *
     * @param config the configuration
     * @param confirmedMillis time as of which it was confirmed: when the read from the store was
     *     sent, or earlier by the transit times between daemons
     */
    record ConfigSeen(PlacementConfig config, long confirmedMillis) implements PlacementEvent {}

    /**
     * The platform's host list.
     *
     * @param workers the workers of all data centres
     */
    record WorkersSeen(List<WorkerHost> workers) implements PlacementEvent {}

    /**
     * Job rows that a poll found new or changed, of all data centres.
     *
     * @param rows the rows
     */
    record JobsSeen(List<JobRow> rows) implements PlacementEvent {}

    /**
     * Task rows that a poll of one data centre's prefix found.
     *
     * @param dataCentre the data centre
     * @param rows the current rows
     * @param complete true for the answer to {@link PlacementAction.ReadTasks}
     * @param asOf the commit at which the rows were read
     */
    record TaskRowsSeen(DataCentreId dataCentre, List<TaskRow> rows, boolean complete, long asOf)
            implements PlacementEvent {}

    /**
     * The answer to {@link PlacementAction.ReadRows}. Keys without a row are absent.
     *
     * @param number number of the request
     * @param taskKeys the task keys that were read
     * @param jobKeys the job keys that were read
     * @param tasks the current task rows
     * @param jobs the current job rows
     */
    record RowsRead(
            long number,
            List<String> taskKeys,
            List<String> jobKeys,
            List<TaskRow> tasks,
            List<JobRow> jobs)
            implements PlacementEvent {}

    /**
     * A write took effect.
     *
     * @param id identifier of the write
     * @param commit its commit
     */
    record WriteCommitted(String id, long commit) implements PlacementEvent {}

    /**
     * A write was refused because a row was not as expected.
     *
     * @param id identifier of the write
     */
    record WriteConflict(String id) implements PlacementEvent {}

    /**
     * A write whose outcome is unknown, such as one without an answer.
     *
     * @param id identifier of the write
     */
    record WriteUnknown(String id) implements PlacementEvent {}

    /**
     * A worker's report arrived.
     *
     * @param number number of the request
     * @param report the report
     */
    record ReportReceived(long number, WorkerReport report) implements PlacementEvent {}

    /**
     * A worker did not answer a request for its report.
     *
     * @param worker the worker
     * @param number number of the request
     */
    record ReportFailed(WorkerId worker, long number) implements PlacementEvent {}

    /**
     * A worker answered commands.
     *
     * @param worker the worker
     * @param number number of the request
     * @param clockMillis the worker's clock when it answered
     * @param results one result per command, in order
     */
    record CommandsAnswered(
            WorkerId worker, long number, long clockMillis, List<CommandResult> results)
            implements PlacementEvent {}

    /**
     * Result of one command.
     *
     * @param error the worker's error code, empty if the command was executed
     * @param checkpoint the object that a checkpoint command made
     */
    record CommandResult(Optional<String> error, Optional<String> checkpoint) {
        /** A command that was executed. */
        public static final CommandResult OK =
                new CommandResult(Optional.empty(), Optional.empty());
    }

    /**
     * A worker did not answer commands, or refused all of them.
     *
     * @param worker the worker
     * @param number number of the request
     * @param staleEpoch true if the worker has seen a higher epoch
     */
    record CommandsFailed(WorkerId worker, long number, boolean staleEpoch)
            implements PlacementEvent {}

    /**
     * A read of another data centre's placement lease row.
     *
     * @param dataCentre the other data centre
     * @param row the row
     * @param commit its commit
     * @param free free capacity that its owner last published; zero if unknown
     */
    record PeerLeaseSeen(DataCentreId dataCentre, LeaseRow row, long commit, Resources free)
            implements PlacementEvent {}

    /** Time has passed. The daemon sends one every {@link OwnerSettings#tickMillis}. */
    record Tick() implements PlacementEvent {}
}
