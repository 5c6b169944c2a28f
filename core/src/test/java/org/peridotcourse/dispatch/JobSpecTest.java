package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Failure;
import org.peridotcourse.Resources;

/** Guards against jobs with so many tasks that the owner runs out of memory. */
class JobSpecTest {
    private static JobSpec job(int steps, int tasks, int timedOccurrences) {
        StepSpec step = StepSpec.builder(tasks, Resources.of(1, 1, 0)).build();
        List<StepSpec> list = Collections.nCopies(steps, step);
        return new JobSpec("payload", list, new Schedule(timedOccurrences, 0, 0));
    }

    private static void assertTooLarge(JobSpec job) {
        assertEquals(JobSpec.Fault.JOB_SIZE, job.validate().failure().orElseThrow());
    }

    @Test
    void aJobOfTheLargestSizeIsAccepted() {
        assertTrue(job(1, JobSpec.MAX_TASKS_PER_STEP, 1).validate().isOk());
        assertTrue(job(10, 10, 1_000).validate().isOk());
    }

    /** Such a job would make each host that becomes the owner run out of memory in turn. */
    @Test
    void aJobWithTooManyTasksIsRejected() {
        assertTooLarge(job(1_000, JobSpec.MAX_TASKS_PER_STEP, 1));
        assertTooLarge(job(1, 1, Integer.MAX_VALUE));
        assertTooLarge(job(1_000, JobSpec.MAX_TASKS_PER_STEP, Integer.MAX_VALUE));
    }

    /**
     * A negative amount, or one with which the sum of a worker's reservations overflows, made other
     * tasks fit onto a worker that was full.
     */
    @Test
    void resourcesThatAreNegativeOrOverflowAreRejected() {
        Resources[] faulty = {
            Resources.of(-1, 1, 1),
            Resources.of(1, -1, 1),
            Resources.of(1, 1, -1),
            Resources.of(Long.MAX_VALUE, 1, 1),
            Resources.of(1, Long.MAX_VALUE, 1),
            Resources.of(1, 1, Long.MAX_VALUE)
        };
        for (Resources resources : faulty) {
            StepSpec step = StepSpec.builder(1, resources).build();
            Failure fault =
                    new JobSpec("payload", List.of(step), Schedule.ONCE)
                            .validate()
                            .failure()
                            .orElseThrow(() -> new AssertionError("accepted: " + resources));
            assertEquals(JobSpec.Fault.RESOURCES, fault);
        }
    }
}
