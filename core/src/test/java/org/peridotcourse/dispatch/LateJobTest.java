package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards runs and ends that a worker reports before their job has been read from the store. This
 * happens after a takeover, when the earlier owner has started a job that its successor reads
 * later.
 */
class LateJobTest {
    private static final long WALL_CLOCK_MILLIS = 1_700_000_000_000L;
    private static final String WORKER = "w";
    private static final TaskRef TASK = new TaskRef("0000000000000001", 0, 0, 0);
    private static final LeaseTimes TIMES = new LeaseTimes(5_000, 6_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);
    private final DispatchOwner owner =
            new DispatchOwner(new OwnerTerm(2, 1_000, 1_000, TIMES), decision -> {});
    private long now = 1_000;

    private static WorkerInfo worker(String id) {
        return new WorkerInfo(
                id,
                "service",
                id + ":80",
                "xela",
                List.of("a", "r1"),
                Resources.of(8_000, 8_000),
                false,
                OptionalLong.empty(),
                WALL_CLOCK_MILLIS);
    }

    @BeforeEach
    void configureOwner() {
        ClusterConfig.Route route = new ClusterConfig.Route("host", "/q/", QUEUE, true);
        owner.onConfig(ClusterConfig.of(1, List.of(route)));
        owner.onWorkerListed(worker(WORKER), now);
    }

    private void report(List<WorkerReport.ActiveRun> running, List<WorkerReport.EndedRun> ended) {
        report(running, ended, true);
    }

    private void report(
            List<WorkerReport.ActiveRun> running,
            List<WorkerReport.EndedRun> ended,
            boolean complete) {
        now += 100;
        WorkerReport report =
                new WorkerReport(now, WALL_CLOCK_MILLIS, running, ended, complete, false);
        owner.onReport(WORKER, report, now - 10, now);
    }

    private static WorkerReport.EndedRun done() {
        return new WorkerReport.EndedRun(1, TASK, 1_001, RunOutcome.DONE, "");
    }

    private void readJob() {
        StepSpec step = StepSpec.builder(1, Resources.of(1_000, 1_000)).estimateMillis(500).build();
        JobSpec spec = new JobSpec("payload", List.of(step), Schedule.ONCE);
        StoredJob storedJob =
                new StoredJob(
                        TASK.job(),
                        Optional.empty(),
                        QUEUE,
                        spec,
                        WALL_CLOCK_MILLIS + now,
                        JobRecord.NEW);
        owner.onJob(storedJob, true, now, WALL_CLOCK_MILLIS + now);
    }

    private long starts() {
        return owner.decide(now).stream().filter(order -> order instanceof Order.Start).count();
    }

    private RecordBatch changes() {
        return owner.takeChanges(RecordBatch.MAX_JOBS, job -> false, now, WALL_CLOCK_MILLIS + now);
    }

    /**
     * The end was acknowledged and discarded by the worker, and the task ran again once its job was
     * read.
     */
    @Test
    void anEndIsNotAcknowledgedBeforeItsJobIsRead() {
        report(List.of(), List.of(done()));
        assertTrue(changes().ackCursors().isEmpty(), "acknowledged");
        readJob();
        report(List.of(), List.of(done()));
        assertEquals(0, starts());
        RecordBatch batch = changes();
        assertEquals(JobState.COMPLETED, batch.changes().get(0).record().state());
        assertEquals(1, batch.ackCursors().get(WORKER).lastEnd());
    }

    /**
     * An end that waits for its job to be read blocks those after it. A run whose end was blocked
     * was no longer listed as active, so it was treated as lost and its task was restarted.
     */
    @Test
    void aRunWithABlockedEndIsNotRestarted() {
        TaskRef other = new TaskRef("0000000000000002", 0, 0, 0);
        report(List.of(), List.of());
        readJob();
        assertEquals(1, starts());
        int attempt = 1_001;
        report(List.of(new WorkerReport.ActiveRun(TASK, attempt, "", 50, 0)), List.of());
        WorkerReport.EndedRun endOfUnreadJob =
                new WorkerReport.EndedRun(1, other, 1, RunOutcome.DONE, "");
        report(
                List.of(),
                List.of(
                        endOfUnreadJob,
                        new WorkerReport.EndedRun(2, TASK, attempt, RunOutcome.DONE, "")));
        assertEquals(0, starts());
    }

    /**
     * Entries that could not be parsed were omitted, and the tasks of their runs were restarted.
     */
    @Test
    void aRunIsNotRestartedWhenEntriesOfAReportCannotBeParsed() {
        report(List.of(), List.of());
        readJob();
        assertEquals(1, starts());
        report(List.of(new WorkerReport.ActiveRun(TASK, 1_001, "", 50, 0)), List.of());
        report(List.of(), List.of(), false);
        assertEquals(0, starts());
        report(List.of(), List.of(), true);
        assertEquals(1, starts());
    }

    /**
     * Orders name a worker and not its incarnation. A run that the next incarnation had started was
     * taken for one of the incarnation before, since its report was made before the start, and its
     * task was started again.
     */
    @Test
    void aRunThatTheNextIncarnationStartedIsNotStartedAgain() {
        report(List.of(), List.of());
        readJob();
        List<Order> orders = owner.decide(now);
        assertEquals(1, orders.size());
        long sentAt = now;
        now += 20;
        owner.onOrderReply(orders.get(0), OrderReply.ACCEPTED, now);
        reportOfNextIncarnation(List.of(), sentAt);
        assertEquals(0, starts());
        WorkerReport.ActiveRun active = new WorkerReport.ActiveRun(TASK, 1_001, "", 50, 0);
        now += RecordedStarts.MAX_WAIT_MILLIS;
        reportOfNextIncarnation(List.of(active), now);
        assertEquals(0, starts());
        assertTrue(owner.state().task(TASK).orElseThrow().hasRuns());
    }

    private void reportOfNextIncarnation(List<WorkerReport.ActiveRun> running, long sentAt) {
        now += 10;
        WorkerReport report =
                new WorkerReport(now, WALL_CLOCK_MILLIS + 1, running, List.of(), true, false);
        owner.onReport(WORKER, report, sentAt, now);
    }

    /** A worker that had left was used again for 3 s after each takeover. */
    @Test
    void aRecordedButUnlistedWorkerGetsNoTask() {
        WorkerInfo left = worker("left");
        DispatchOwner successor =
                new DispatchOwner(new OwnerTerm(2, 1_000, 1_000, TIMES), decision -> {});
        ClusterConfig.Route route = new ClusterConfig.Route("host", "/q/", QUEUE, true);
        successor.onConfig(ClusterConfig.of(1, List.of(route)));
        successor.onRecordedWorker(left, now);
        WorkerReport idle =
                new WorkerReport(now, WALL_CLOCK_MILLIS, List.of(), List.of(), true, false);
        successor.onReport("left", idle, now, now + 10);
        StepSpec step = StepSpec.builder(1, Resources.of(1_000, 1_000)).estimateMillis(500).build();
        JobSpec spec = new JobSpec("payload", List.of(step), Schedule.ONCE);
        successor.onJob(
                new StoredJob(
                        TASK.job(),
                        Optional.empty(),
                        QUEUE,
                        spec,
                        WALL_CLOCK_MILLIS + now,
                        JobRecord.NEW),
                false,
                now,
                WALL_CLOCK_MILLIS + now);
        assertTrue(successor.decide(now + 20).isEmpty(), "a start on a worker that has left");
        successor.onWorkerListed(left, now + 30);
        assertEquals(1, successor.decide(now + 200).size(), "it is listed again");
    }

    @Test
    void anEndOfAJobThatIsNeverReadIsAcknowledgedAfterATimeout() {
        for (int i = 0; i < 60; i++) {
            report(List.of(), List.of(done()));
        }
        assertEquals(1, changes().ackCursors().get(WORKER).lastEnd());
    }

    @Test
    void anEndOfAJobThatHasEndedIsAcknowledgedAtOnce() {
        owner.onJobEnded(TASK.job());
        report(List.of(), List.of(done()));
        assertEquals(1, changes().ackCursors().get(WORKER).lastEnd());
    }

    /** The run was stopped, which lost its work, and the task was restarted. */
    @Test
    void aRunOfAJobThatIsNotReadYetIsNotStopped() {
        WorkerReport.ActiveRun running = new WorkerReport.ActiveRun(TASK, 1_001, "", 50, 0);
        report(List.of(running), List.of());
        assertTrue(owner.decide(now).isEmpty(), "stopped");
        readJob();
        report(List.of(running), List.of());
        for (int percent = 51; percent < 91; percent++) {
            report(List.of(new WorkerReport.ActiveRun(TASK, 1_001, "", percent, 0)), List.of());
            assertTrue(owner.decide(now).isEmpty(), "stopped or restarted");
        }
    }

    @Test
    void aRunOfAJobThatIsNeverReadIsStopped() {
        WorkerReport.ActiveRun running = new WorkerReport.ActiveRun(TASK, 1_001, "", 50, 0);
        boolean stopped = false;
        for (int i = 0; i < 60; i++) {
            report(List.of(running), List.of());
            stopped |= !owner.decide(now).isEmpty();
        }
        assertTrue(stopped);
        assertFalse(owner.hasUnstoredEnds(WORKER));
    }
}
