package org.peridotcourse.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests that the placement owner in the benchmark places and finishes tasks. */
class OwnerBenchTest {
    /** Guards against measuring an owner that starts no tasks, whose cost would be too low. */
    @Test
    void startsEveryTask() {
        OwnerBench bench = new OwnerBench(24, 120);
        bench.submit("base-", 100);
        bench.advance(20_000);
        assertEquals(220, bench.placed());
        assertEquals(220, bench.counts().starts);
    }

    /** Guards against tasks that never finish, whose rows would be missing from the counts. */
    @Test
    void recordsFinishedTasks() {
        OwnerBench bench = new OwnerBench(24, 120);
        bench.submit("peak-", 100);
        bench.advance(20_000);
        assertEquals(100, bench.finish("peak-"));
        bench.advance(10_000);
        assertEquals(120, bench.placed());
    }
}
