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
    private static final long WAIT_MILLIS = 2_000;

    /**
     * The published sum says nothing about the gaps on single workers, so a task that fits nowhere
     * there would be handed back and forth without end.
     */
    private static final long STAY_MILLIS = 60_000;

    /** Bounds the rows of one step, to leave room for other writes. */
    private static final int MOVES_PER_STEP = 80;

    private final Book book;
    private final WriteBuffer writes;
    private final FairOrder order;
    private final Destinations destinations;
    private final Map<Job, Long> waitingSince = new HashMap<>();

    Rebalancing(Book book, WriteBuffer writes, FairOrder order, Destinations destinations) {
        this.book = book;
        this.writes = writes;
        this.order = order;
        this.destinations = destinations;
    }

    /** Starts the next handovers. */
    void run(long nowMillis) {
        if (!book.mayStart(nowMillis)) {
            waitingSince.clear();
            return;
        }
        waitingSince.keySet().removeIf(job -> !job.isSchedulable());
        int left = MOVES_PER_STEP;
        for (Customer customer : book.customers.values()) {
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
                || nowMillis - since < WAIT_MILLIS
                || !order.isWithinQuota(customer, job.size())) {
            return 0;
        }
        int moved = 0;
        for (Task task : List.copyOf(job.queued)) {
            DataCentreId target = moved < most ? destinations.choose(job, true) : null;
            if (target == null) {
                break;
            }
            if (!task.busy && nowMillis - task.handedInMillis >= STAY_MILLIS) {
                destinations.reserve(target, job);
                writes.add(Change.move(task, target));
                moved++;
            }
        }
        return moved;
    }
}
