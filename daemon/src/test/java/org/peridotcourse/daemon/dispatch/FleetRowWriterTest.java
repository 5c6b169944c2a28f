package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.WorkerInfo;

/**
 * Guards against a worker without a row, although it runs tasks: a new owner that doesn't find it
 * in the worker list either would start its tasks again at once.
 */
class FleetRowWriterTest {
    private static final long STEP_MILLIS = 1_000;
    private static final WorkerInfo WORKER = worker("10.0.0.1:80");

    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(16));
    private final EventLoop loop = new EventLoop("test", 1_024, Throwable::printStackTrace);
    private final FakeRowStore store = new FakeRowStore(loop);
    private final List<String> deposed = new ArrayList<>();
    private final FencedWriter writer;
    private final FleetRowWriter fleet;
    private long now;

    FleetRowWriterTest() {
        store.write(TestSettings.epochWrite("host/1", 1), 0, outcome -> {});
        HostComponents components = TestSettings.components(loop, store, log);
        writer = new FencedWriter(components, 1, 1, deposed::add);
        fleet = new FleetRowWriter(writer);
    }

    @AfterEach
    void close() {
        loop.close();
    }

    private static WorkerInfo worker(String address) {
        return new WorkerInfo(
                "w-1",
                "service",
                address,
                "xela",
                List.of(),
                Resources.of(1_000, 1_000, 0),
                false,
                OptionalLong.empty(),
                1);
    }

    private List<WorkerInfo> storedWorkers() {
        return store.table(RowNames.FLEET).stream()
                .map(row -> RowCodec.worker(row).toOptional().orElseThrow())
                .toList();
    }

    /**
     * Runs phases one after the other on the event loop. Each starts once the writes of the phase
     * before have an outcome.
     */
    private void run(Runnable... phases) throws InterruptedException {
        List<Runnable> remaining = new ArrayList<>(List.of(phases));
        Runnable nextPhase =
                () -> {
                    if (writer.isIdle(loop.nowMillis()) && !remaining.isEmpty()) {
                        remaining.remove(0).run();
                    }
                };
        LoopDriver.runUntil(
                loop, nextPhase, () -> remaining.isEmpty() && writer.isIdle(loop.nowMillis()));
        assertTrue(deposed.isEmpty(), deposed.toString());
    }

    private void step(WorkerInfo... workers) {
        now += STEP_MILLIS;
        fleet.step(() -> List.of(workers), now);
    }

    /** The worker was removed and came back before the store executed its removal. */
    @Test
    void aLateRemovalDoesNotRemoveAWorkerThatIsBack() throws InterruptedException {
        run(
                () -> step(WORKER),
                () -> {
                    store.appliesNextWriteLate = true;
                    step();
                },
                () -> step(WORKER),
                store::applyLateWrite,
                () -> step(WORKER),
                () -> step(WORKER));
        assertEquals(List.of(WORKER), storedWorkers());
    }

    /** The worker moved to another address before the store executed the write of the first one. */
    @Test
    void aLateWriteDoesNotReplaceALaterOne() throws InterruptedException {
        WorkerInfo moved = worker("10.0.0.2:80");
        run(
                () -> {
                    store.appliesNextWriteLate = true;
                    step(WORKER);
                },
                () -> step(moved),
                store::applyLateWrite,
                () -> step(moved),
                () -> step(moved));
        assertEquals(List.of(moved), storedWorkers());
    }

    @Test
    void aWriteThatTookEffectWithoutAnAnswerIsConfirmedByTheNextOne() throws InterruptedException {
        run(
                () -> {
                    store.answersToLose = 1;
                    step(WORKER);
                },
                () -> step(WORKER),
                () -> step(WORKER));
        assertEquals(List.of(WORKER), storedWorkers());
        assertEquals(1, store.conflicts);
    }
}
