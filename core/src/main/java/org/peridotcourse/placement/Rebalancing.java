package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.peridotcourse.DataCentreId;

/**
 * Hands queued tasks that fit no local worker over to data centres with free capacity, so that a
 * job larger than one data centre does not wait while another one is idle. Confined to one thread.
 */
final class Rebalancing {
    /**
     * Minimum time in the queue before a handover. A handover costs a write and a poll by the other
     * owner, so a task that is soon placed here should stay.
     */
    private static final long MIN_WAIT_MILLIS = 2_000;

    /**
     * Minimum time before a task that was handed over is handed on. The published free capacity is
     * a sum over workers, so a task that fits no single worker would otherwise be handed back and
     * forth without end.
     */
    private static final long MIN_STAY_MILLIS = 60_000;

    /** Maximum number of handovers in one step, to leave room for other writes. */
    private static final int MAX_HANDOVERS_PER_STEP = 80;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final FairShareOrder fairShareOrder;
    private final HandoverTargets handoverTargets;
    private final Map<Job, Long> waitingSince = new HashMap<>();

    Rebalancing(
            OwnerState state,
            WriteBuffer writes,
            FairShareOrder fairShareOrder,
            HandoverTargets handoverTargets) {
        this.state = state;
        this.writes = writes;
        this.fairShareOrder = fairShareOrder;
        this.handoverTargets = handoverTargets;
    }

    /** Starts the next handovers. */
    void run(long nowMillis) {
        if (!state.mayStart(nowMillis)) {
            waitingSince.clear();
            return;
        }
        waitingSince.keySet().removeIf(job -> !job.isSchedulable());
        int remaining = MAX_HANDOVERS_PER_STEP;
        for (Customer customer : state.customers.values()) {
            List<Job> jobs = new ArrayList<>(customer.urgent());
            jobs.addAll(customer.normal());
            for (Job job : jobs) {
                remaining -= handOver(nowMillis, customer, job, remaining);
            }
        }
    }

    private int handOver(long nowMillis, Customer customer, Job job, int limit) {
        if (!job.isSchedulable()) {
            return 0;
        }
        Long waitingSinceMillis = waitingSince.putIfAbsent(job, nowMillis);
        // A task of a customer that has reached its quota would wait in the other data centre too.
        if (waitingSinceMillis == null
                || nowMillis - waitingSinceMillis < MIN_WAIT_MILLIS
                || !fairShareOrder.isWithinQuota(customer, job.size())) {
            return 0;
        }
        int handedOverCount = 0;
        for (Task task : List.copyOf(job.queued)) {
            DataCentreId target =
                    handedOverCount < limit ? handoverTargets.choose(job, true) : null;
            if (target == null) {
                break;
            }
            if (!task.rowChangePending && nowMillis - task.receivedMillis >= MIN_STAY_MILLIS) {
                handoverTargets.reserve(target, job);
                writes.add(RowChange.handover(task, target));
                handedOverCount++;
            }
        }
        return handedOverCount;
    }
}
