package org.peridotcourse.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests that the placement owner of the measurement does real work. */
class OwnerBenchTest {
    /** Guards against figures of an owner that has started nothing, which would look cheap. */
    @Test
    void startsEveryTask() {
        OwnerBench bench = new OwnerBench(24, 120);
        bench.submit("base-", 100);
        bench.advance(20_000);
        assertEquals(220, bench.placed());
        assertEquals(220, bench.counts().starts);
    }

    /** Guards against tasks that never end, whose rows would be missing from the figures. */
    @Test
    void seesFinishedTasks() {
        OwnerBench bench = new OwnerBench(24, 120);
        bench.submit("peak-", 100);
        bench.advance(20_000);
        assertEquals(100, bench.finish("peak-"));
        bench.advance(10_000);
        assertEquals(120, bench.placed());
    }
}
