package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;

/**
 * Guards against an owner that is cut off from the store and starts tasks that a later owner runs:
 * from the end of its own lease on, another host may have taken over and renewed the leases of the
 * workers that do not answer.
 */
class LaterOwnerTest {
    private static final Resources CAPACITY = Resources.of(8_000, 64_000);
    private static final QueueRules QUEUE = DispatchSimulation.queue("q", 1, 3);

    /** Time for which an owner sends orders after its last confirmed renewal. */
    private static final long HOLD_MILLIS = 8_000;

    /** Time after its last confirmed renewal from which another host may take over. */
    private static final long LEASE_MILLIS = 1_500;

    /** Time by which the lease of a worker that does not answer has certainly expired. */
    private static final long WORKER_LEASE_MILLIS =
            DispatchSimulation.LEASE_TIMES.maxMillisFromGrant();

    private final DispatchSimulation simulation = new DispatchSimulation(3, 3, CAPACITY);

    private void confirmRenewal() {
        simulation.owner.onOwnershipExtended(
                simulation.now + HOLD_MILLIS, simulation.now + LEASE_MILLIS);
    }

    private String submitLastingTask() {
        StepSpec step = DispatchOwnerTest.step(1, 1_000, 0).lasting(true).build();
        return simulation.submit(QUEUE, step);
    }

    private void cutOffWorkerOf(String job) {
        simulation.workers.values().stream()
                .filter(
                        worker ->
                                worker.active.keySet().stream()
                                        .anyMatch(key -> key.task().job().equals(job)))
                .forEach(worker -> simulation.unreachableWorkers.add(worker.id));
    }

    /** Two owners ran each task of the other data centres for as long as a data centre was cut. */
    @Test
    void aLeaseThatALaterOwnerMayHaveRenewedIsNotOver() {
        String job = submitLastingTask();
        simulation.run(1_000);
        confirmRenewal();
        cutOffWorkerOf(job);
        simulation.run(HOLD_MILLIS);
        assertEquals(1, simulation.startCount());
    }

    @Test
    void theLeaseIsOverOnceARenewalShowsThatThereWasNoLaterOwner() {
        String job = submitLastingTask();
        simulation.run(1_000);
        confirmRenewal();
        cutOffWorkerOf(job);
        simulation.run(WORKER_LEASE_MILLIS + 1_000);
        assertEquals(1, simulation.startCount());
        confirmRenewal();
        simulation.run(100);
        assertEquals(2, simulation.startCount());
    }

    @Test
    void aLeaseThatExpiredBeforeALaterOwnerCouldExistIsOver() {
        String job = submitLastingTask();
        simulation.run(1_000);
        cutOffWorkerOf(job);
        simulation.run(WORKER_LEASE_MILLIS - LEASE_MILLIS + 500);
        confirmRenewal();
        simulation.run(HOLD_MILLIS);
        assertEquals(2, simulation.startCount());
    }

    /** The worker may have reported to a later owner, which renewed its lease. */
    @Test
    void anInheritedTaskOfASilentWorkerWaitsWhileThereMayBeALaterOwner() {
        String job = submitLastingTask();
        simulation.run(1_000);
        cutOffWorkerOf(job);
        simulation.takeOver(simulation.now);
        confirmRenewal();
        simulation.run(HOLD_MILLIS);
        assertEquals(1, simulation.startCount());
        confirmRenewal();
        simulation.run(100);
        assertEquals(2, simulation.startCount());
    }

    /** A job that was accepted under a later owner is new to both, so both would start it. */
    @Test
    void aJobThatIsReadWhileThereMayBeALaterOwnerWaitsForARenewal() {
        simulation.run(500);
        confirmRenewal();
        simulation.run(LEASE_MILLIS - 200);
        submitLastingTask();
        simulation.run(300);
        assertEquals(1, simulation.startCount(), "read before a later owner could exist");
        submitLastingTask();
        simulation.run(2_000);
        assertEquals(1, simulation.startCount());
        confirmRenewal();
        simulation.run(100);
        assertEquals(2, simulation.startCount(), "started once the renewal is confirmed");
    }
}
