package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.JobState;

/**
 * Guards against the removal of the progress of a job that has the id of an ended one. Its state
 * was unknown from then on, although it was accepted.
 */
class ProgressCleanerTest {
    private static final long RETENTION_MILLIS = 1_000;
    private static final long ENDED_AT = 1_800_000_000_000L;
    private static final long EXPIRED_AT =
            ENDED_AT + ProgressCleaner.retentionMillis(RETENTION_MILLIS) + 1;

    /** Exceeds the pause between two attempts. */
    private static final long STEP_MILLIS = 60_000;

    /** Exceeds the jobs of a transaction. */
    private static final int MANY = 100;

    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(16));
    private final EventLoop loop = new EventLoop("test", 1_024, Throwable::printStackTrace);
    private final FakeRowStore store = new FakeRowStore(loop);
    private final List<String> deposed = new ArrayList<>();
    private final List<String> removed = new ArrayList<>();
    private final ProgressCleaner cleaner;
    private long now;

    ProgressCleanerTest() {
        store.write(TestSettings.epochWrite("host/1", 1), 0, outcome -> {});
        HostComponents components = TestSettings.components(loop, store, log);
        FencedWriter writer = new FencedWriter(components, 1, 1, deposed::add);
        cleaner = new ProgressCleaner(writer, RETENTION_MILLIS, removed::add);
    }

    @AfterEach
    void close() {
        loop.close();
    }

    private void put(String table, String key, byte[] value) {
        store.write(
                RowWrite.builder(RowNames.PART).put(table, key, value).build(), 0, outcome -> {});
    }

    private long putProgress(String job, JobState state) {
        byte[] value = RecordCodec.encode(new JobRecord(state, 0, List.of()));
        put(RowNames.PROGRESS, job, value);
        return store.table(RowNames.PROGRESS).stream()
                .filter(row -> row.key().equals(job))
                .findFirst()
                .orElseThrow()
                .version();
    }

    private void addEnded(String job) {
        cleaner.onEnded(job, ENDED_AT, putProgress(job, JobState.COMPLETED));
    }

    /** Runs the cleaner until a condition holds, which is evaluated on the event loop. */
    private void runUntil(BooleanSupplier condition) throws InterruptedException {
        Runnable step =
                () -> {
                    now += STEP_MILLIS;
                    cleaner.step(now, EXPIRED_AT);
                };
        LoopDriver.runUntil(loop, step, condition);
        assertTrue(deposed.isEmpty(), deposed.toString());
    }

    @Test
    void allExpiredProgressIsRemoved() throws InterruptedException {
        for (int i = 0; i < MANY; i++) {
            addEnded("job-" + i);
        }
        runUntil(() -> removed.size() == MANY);
        assertTrue(store.table(RowNames.PROGRESS).isEmpty());
        assertEquals(0, store.rejectedWrites);
    }

    /**
     * The answer to the removal was lost, and its repetition removed the progress of a job that was
     * accepted under the same id in between.
     */
    @Test
    void aRepeatedRemovalKeepsTheProgressOfALaterJob() throws InterruptedException {
        addEnded("reused");
        addEnded("other");
        store.answersToLose = 1;
        List<Long> laterVersions = new ArrayList<>();
        runUntil(
                () -> {
                    if (store.answersToLose == 0 && laterVersions.isEmpty()) {
                        laterVersions.add(putProgress("reused", JobState.QUEUED));
                    }
                    return removed.size() == 2;
                });
        assertEquals(
                laterVersions,
                store.table(RowNames.PROGRESS).stream().map(StoredRow::version).toList());
    }

    /** An owner that still holds the end of the earlier job would ignore the later one. */
    @Test
    void aLaterJobWithTheSameIdShowsThatTheEarlierOneWasRemoved() {
        addEnded("reused");
        cleaner.onJobRead("reused", 1);
        assertEquals(List.of(), removed, "the row of the ended job, read late");
        cleaner.onJobRead("reused", STEP_MILLIS);
        assertEquals(List.of("reused"), removed);
    }
}
