package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/** Guards the memory of owners against jobs of which no host could hold the tasks. */
class JobSpecTest {
    private static JobSpec job(int steps, int tasks, int repeats) {
        StepSpec step = StepSpec.builder(tasks, Resources.of(1, 1, 0)).build();
        List<StepSpec> list = Collections.nCopies(steps, step);
        return new JobSpec("payload", list, new Schedule(repeats, 0, 0));
    }

    private static void assertTooLarge(JobSpec job) {
        assertEquals(JobSpec.Fault.JOB_SIZE, job.checked().failure().orElseThrow());
    }

    @Test
    void aJobWithTheLargestStepIsTaken() {
        assertTrue(job(1, JobSpec.MAX_TASKS_PER_STEP, 1).checked().isOk());
        assertTrue(job(10, 10, 1_000).checked().isOk());
    }

    /** Each host that became owner would have run out of memory, one after the other. */
    @Test
    void aJobWithMoreTasksThanAHostCanHoldIsRefused() {
        assertTooLarge(job(1_000, JobSpec.MAX_TASKS_PER_STEP, 1));
        assertTooLarge(job(1, 1, Integer.MAX_VALUE));
        assertTooLarge(job(1_000, JobSpec.MAX_TASKS_PER_STEP, Integer.MAX_VALUE));
    }
}
