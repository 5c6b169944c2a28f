package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.DispatchOwner;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.JobSpec;
import org.peridotcourse.dispatch.JobState;
import org.peridotcourse.dispatch.OwnerTerm;
import org.peridotcourse.dispatch.QueueRules;
import org.peridotcourse.dispatch.Schedule;
import org.peridotcourse.dispatch.StepSpec;
import org.peridotcourse.dispatch.StoredJob;
import org.peridotcourse.dispatch.WorkerInfo;

/**
 * Guards against a rejected row that blocks other writes of the owner. On treadline-grown, the
 * single row with all workers exceeded the store's row limit, and the writes queued behind it were
 * never sent.
 */
class ProgressWriterTest {
    private static final int WORKERS = 1_000;
    private static final OwnerTerm TERM = new OwnerTerm(1, 0, 0, TestSettings.LEASE_TIMES);

    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(16));
    private final EventLoop loop = new EventLoop("test", 1_024, Throwable::printStackTrace);
    private final FakeRowStore store = new FakeRowStore(loop);
    private final DispatchOwner owner = new DispatchOwner(TERM, decision -> {});
    private final List<String> deposed = new ArrayList<>();

    @AfterEach
    void close() {
        loop.close();
    }

    private static WorkerInfo worker(int number) {
        String id = "instance-of-a-worker-" + number;
        return new WorkerInfo(
                id,
                "service",
                "10.20.30.40:" + number,
                "data-centre-of-worker",
                List.of("kind-a", "rack-" + number / 8),
                Resources.of(32_000, 128_000, 8),
                false,
                OptionalLong.empty(),
                1_700_000_000_000L + number);
    }

    private StoredJob job(int number) {
        QueueRules queue = new QueueRules("q", "service", 1, 3, 2, 500, Optional.empty());
        StepSpec step = StepSpec.builder(1, Resources.of(100, 10, 0)).build();
        return new StoredJob(
                "job-" + number,
                Optional.empty(),
                queue,
                new JobSpec("payload", List.of(step), Schedule.ONCE),
                0,
                JobRecord.NEW);
    }

    /** Runs the writer until a condition holds, which is evaluated on the event loop. */
    private void runUntil(BooleanSupplier condition) throws InterruptedException {
        store.write(TestSettings.epochWrite("host/1", 1), 0, outcome -> {});
        ProgressWriter writer =
                new ProgressWriter(
                        TestSettings.components(loop, store, log), owner, 1, deposed::add);
        LoopDriver.runUntil(loop, () -> writer.step(loop.nowMillis()), condition);
        assertTrue(deposed.isEmpty(), deposed.toString());
    }

    @Test
    void aFleetOfAThousandWorkersIsRecordedRowByRow() throws InterruptedException {
        for (int i = 0; i < WORKERS; i++) {
            owner.onWorkerListed(worker(i), 0);
        }
        runUntil(() -> store.table(RowNames.FLEET).size() == WORKERS);
        assertEquals(0, store.rejectedWrites);
        for (StoredRow row : store.table(RowNames.FLEET)) {
            assertTrue(RowCodec.worker(row).isOk(), row.key());
        }
    }

    @Test
    void aRecordThatTheStoreRejectsDelaysNoOtherJob() throws InterruptedException {
        for (int i = 0; i < 10; i++) {
            owner.onJob(job(i), false, loop.nowMillis(), 0);
            owner.onCancel("job-" + i, loop.nowMillis());
        }
        store.rejectedRows.add(RowNames.PROGRESS + "/job-4");
        runUntil(() -> store.table(RowNames.PROGRESS).size() == 9);
        assertTrue(
                store.table(RowNames.PROGRESS).stream()
                        .noneMatch(row -> row.key().equals("job-4")));
    }

    @Test
    void aFleetRowThatTheStoreRejectsDelaysNoOtherRow() throws InterruptedException {
        owner.onWorkerListed(worker(1), 0);
        store.rejectedRows.add(RowNames.FLEET + "/" + worker(1).id());
        runUntil(
                () ->
                        store.rejectedWrites > 1
                                && store.table(RowNames.DUTIES).stream()
                                        .anyMatch(row -> row.key().equals(RowNames.LEARNED_KEY)));
        assertTrue(store.table(RowNames.FLEET).isEmpty());
    }

    @Test
    void aFleetRowThatTheStoreRejectsDelaysNoProgress() throws InterruptedException {
        owner.onWorkerListed(worker(1), 0);
        store.rejectedRows.add(RowNames.FLEET + "/" + worker(1).id());
        owner.onJob(job(1), false, loop.nowMillis(), 0);
        owner.onCancel("job-1", loop.nowMillis());
        runUntil(() -> store.table(RowNames.PROGRESS).size() == 1);
    }

    /**
     * The rows of an ended job were removed by a write whose answer was lost, and a job with the
     * same id was accepted. The owner took it for the ended one and never started it.
     */
    @Test
    void aJobThatReusesTheIdOfARemovedOneIsNotTakenForIt() {
        ProgressWriter writer =
                new ProgressWriter(
                        TestSettings.components(loop, store, log), owner, 1, deposed::add);
        owner.onJobEnded("job-1");
        writer.onProgressRead("job-1", 5, new JobRecord(JobState.COMPLETED, 1, List.of()));
        writer.onJobRead("job-1", 9);
        owner.onJob(job(1), false, 0, 0);
        assertEquals(Map.of("q", 1), owner.pendingJobsByQueue());
    }
}
