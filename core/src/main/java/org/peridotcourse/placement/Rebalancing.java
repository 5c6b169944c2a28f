package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotcourse.DataCentreId;

/**
 * Hands queued tasks that find no worker here over to data centres with free capacity, so that a
 * job larger than one data centre does not wait while another one is idle. Confined to one thread.
 */
final class Rebalancing {
    /** A task that is placed at once waits less; a handover costs a write and a poll there. */
    private static final long MIN_WAIT_MILLIS = 2_000;

    /**
     * The published sum says nothing about the gaps on single workers, so a task that fits nowhere
     * there would be handed back and forth without end.
     */
    private static final long MIN_STAY_MILLIS = 60_000;

    /** Bounds the rows of one step, to leave room for other writes. */
    private static final int MAX_MOVES_PER_STEP = 80;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final FairShareOrder fairShareOrder;
    private final HandoverTargets handoverTargets;
    private final Map<Job, Long> waitingSince = new HashMap<>();

    Rebalancing(
            OwnerState book,
            WriteBuffer writes,
            FairShareOrder order,
            HandoverTargets destinations) {
        this.state = book;
        this.writes = writes;
        this.fairShareOrder = order;
        this.handoverTargets = destinations;
    }

    /** Starts the next handovers. */
    void run(long nowMillis) {
        if (!state.mayStart(nowMillis)) {
            waitingSince.clear();
            return;
        }
        waitingSince.keySet().removeIf(job -> !job.isSchedulable());
        int left = MAX_MOVES_PER_STEP;
        for (Customer customer : state.customers.values()) {
            List<Job> jobs = new ArrayList<>(customer.urgent());
            jobs.addAll(customer.normal());
            for (Job job : jobs) {
                left -= handOver(nowMillis, customer, job, left);
            }
        }
    }

    private int handOver(long nowMillis, Customer customer, Job job, int most) {
        if (!job.isSchedulable()) {
            return 0;
        }
        Long since = waitingSince.putIfAbsent(job, nowMillis);
        // A customer at its quota would wait in the other data centre as well.
        if (since == null
                || nowMillis - since < MIN_WAIT_MILLIS
                || !fairShareOrder.isWithinQuota(customer, job.size())) {
            return 0;
        }
        int moved = 0;
        for (Task task : List.copyOf(job.queued)) {
            DataCentreId target = moved < most ? handoverTargets.choose(job, true) : null;
            if (target == null) {
                break;
            }
            if (!task.rowChangePending && nowMillis - task.receivedMillis >= MIN_STAY_MILLIS) {
                handoverTargets.reserve(target, job);
                writes.add(RowChange.move(task, target));
                moved++;
            }
        }
        return moved;
    }
}
