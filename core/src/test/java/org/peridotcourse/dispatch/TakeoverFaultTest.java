package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against a successor that takes what one worker shows for all that an earlier owner or an
 * earlier life of the worker has left.
 */
class TakeoverFaultTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchWorld.queue("q", 1, 3);

    /** A job of which nothing runs for this long counts as lost. */
    private static final long MAX_REPEAT_MILLIS = 3_000;

    private static StepSpec.Builder step(int count, long millis) {
        return DispatchOwnerTest.step(count, 1_000, millis);
    }

    /** The new life took the longest lease from a call of the earlier owner. */
    @Test
    void aLeaseCallOfTheEarlierOwnerForAnEarlierIncarnationCausesNoDuplicateRuns() {
        DispatchWorld world = new DispatchWorld(5, 2, CAPACITY);
        world.submit(QUEUE, step(8, 0).lasting(true).build());
        world.run(6_000);
        FakeRunner reborn = world.runners.get("w0");
        reborn.restart(world.now);
        world.run(10);
        world.takeOver(world.now);
        while (reborn.active.isEmpty()) {
            world.run(10);
        }
        world.cut.add("w0");
        world.run(10_000);
    }

    /** The earlier owner saw the failure and did not store it. */
    @Test
    void anAdoptedTaskStaysWithinMaxAttemptsWhileASilentWorkerHoldsAFailure() {
        DispatchWorld world = new DispatchWorld(3, 4, CAPACITY);
        QueueRules two = DispatchWorld.queue("q", 1, 2);
        world.config(two);
        world.run(500);
        world.storeDown = true;
        String job = world.submit(two, step(1, 6_000).build());
        world.run(500);
        FakeRunner first = runnerOf(world, job);
        first.failAfterMillis = 20;
        while (world.starts() < 2) {
            world.run(10);
        }
        world.run(50);
        FakeRunner second = runnerOf(world, job);
        assertNotSame(first, second);
        world.cut.add(first.id);
        world.takeOver(world.now + 8_000);
        world.storeDown = false;
        world.run(500);
        second.failAfterMillis = 20;
        world.run(1_000);
        world.cut.remove(first.id);
        world.run(3_000);
        assertTrue(world.starts() <= 2, "starts " + world.starts() + " of 2 attempts");
    }

    private static FakeRunner runnerOf(DispatchWorld world, String job) {
        return world.runners.values().stream()
                .filter(
                        runner ->
                                runner.active.keySet().stream()
                                        .anyMatch(key -> key.task().job().equals(job)))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aLostStartIsRepeatedWithinThreeSeconds() {
        for (int offset = 0; offset < 1_000; offset += 200) {
            DispatchWorld world = new DispatchWorld(3, 3, CAPACITY);
            world.waitMillis = 1_000;
            world.run(500 + offset);
            world.lateShare = 1;
            world.submit(QUEUE, step(1, 30_000).build());
            world.run(20);
            world.lateShare = 0;
            long began = world.now;
            while (world.count(Decision.Kind.RUN_ORDERED) < 2) {
                world.run(10);
            }
            long took = world.now - began;
            assertTrue(took < MAX_REPEAT_MILLIS, "repeated after " + took);
        }
    }
}
