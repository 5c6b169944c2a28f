package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against broken time bounds of callers under slow owners, takeovers and impairments, with
 * random scenarios. A long search is started by hand, for example with {@code -Drules.first=1
 * -Drules.seeds=3000}.
 */
class CallerRulesSearchTest {
    private static final long FIRST_SEED = Long.getLong("rules.first", 1);
    private static final int SEEDS = Integer.getInteger("rules.seeds", 0);

    /** Number of seeds that each run tries. */
    private static final int SHORT_RUN_SEEDS = 30;

    /** Seeds of earlier violations, all of the rule UNASKED. */
    private static final long[] REGRESSION_SEEDS = {2917, 4711, 5926};

    /** Seeds on which a task of an inherited lasting job waits for too long. */
    private static final long[] LATE_INHERITED_TASK_SEEDS = {1302, 3883, 6366};

    private static List<String> violations(LongStream seeds) {
        return seeds.boxed()
                .flatMap(
                        seed ->
                                new CallerRulesScenario(seed)
                                        .run().violations().stream()
                                                .map(violation -> "seed " + seed + " " + violation))
                .toList();
    }

    @Test
    void shortRunBreaksNoRule() {
        assertEquals(List.of(), violations(LongStream.rangeClosed(1, SHORT_RUN_SEEDS)));
    }

    @Test
    void stopsOfANewOwnerAreNotDelayedByItsStarts() {
        assertEquals(List.of(), violations(LongStream.of(REGRESSION_SEEDS)));
    }

    /** Guards against lasting tasks that wait for a new owner beyond the time that is allowed. */
    @Test
    void lastingTasksDoNotWaitForANewOwner() {
        assertEquals(List.of(), violations(LongStream.of(LATE_INHERITED_TASK_SEEDS)));
    }

    /** Runs the seeds that system properties select, in parallel; there are none in CI. */
    @Test
    void seedsFromSystemProperties() {
        LongStream seeds = LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
        assertEquals(List.of(), violations(seeds.parallel()));
    }
}
