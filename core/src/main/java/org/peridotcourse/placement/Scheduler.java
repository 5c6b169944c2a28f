package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.peridotcourse.Resources;

/**
 * Assigns queued tasks to workers: replicas of services first, then urgent tasks, then the others,
 * customers in the fair order.
 *
 * <p>Confined to one thread.
 */
final class Scheduler {
    /**
     * Most assignments of one pass. With a pass every 50 ms this allows 960 starts/s and bounds the
     * time that one pass takes from the owner's thread.
     */
    private static final int STARTS_PER_PASS = 48;

    /** Most jobs of one customer that are tried in a pass before the next customer's turn. */
    private static final int JOBS_TRIED = 16;

    private final Book book;
    private final WriteBuffer writes;
    private final FairOrder order;
    private final WorkerChoice choice;
    private final List<Resources> unfit = new ArrayList<>();
    private long pass;

    Scheduler(Book book, WriteBuffer writes, FairOrder order, WorkerChoice choice) {
        this.book = book;
        this.writes = writes;
        this.order = order;
        this.choice = choice;
    }

    /** Assigns what can be started now. */
    void run(long nowMillis) {
        if (book.queued == 0
                || !book.mayStart(nowMillis)
                || writes.collectedSize() >= OwnerSettings.WRITE_ROWS) {
            return;
        }
        pass++;
        unfit.clear();
        order.refresh();
        int left = STARTS_PER_PASS;
        for (Customer customer : book.customers.values()) {
            if (customer.replicas().isEmpty()) {
                continue;
            }
            for (Job job : List.copyOf(customer.replicas())) {
                while (left > 0 && job.blockedPass != pass && job.isSchedulable()) {
                    left -= assign(nowMillis, job) ? 1 : 0;
                }
            }
        }
        left = serve(nowMillis, left, true);
        serve(nowMillis, left, false);
    }

    private int serve(long nowMillis, int most, boolean urgentOnly) {
        int left = most;
        while (left > 0) {
            Customer customer = order.next(pass, urgentOnly);
            if (customer == null) {
                break;
            }
            if (assignNext(nowMillis, customer, urgentOnly)) {
                left--;
            } else {
                customer.blockedPass = pass;
            }
        }
        if (urgentOnly) {
            // A customer without room for its urgent work may still have room for smaller tasks.
            book.customers.values().forEach(customer -> customer.blockedPass = 0);
        }
        return left;
    }

    private boolean assignNext(long nowMillis, Customer customer, boolean urgentOnly) {
        return assignFirst(nowMillis, customer, customer.urgent())
                || (!urgentOnly && assignFirst(nowMillis, customer, customer.normal()));
    }

    private boolean assignFirst(long nowMillis, Customer customer, List<Job> jobs) {
        int tried = 0;
        for (int i = 0; i < jobs.size() && tried < JOBS_TRIED; i++) {
            Job job = jobs.get(i);
            if (job.blockedPass == pass || !job.isSchedulable()) {
                continue;
            }
            tried++;
            if (!order.isWithinQuota(customer, job.size())) {
                job.blockedPass = pass;
            } else if (assign(nowMillis, job)) {
                return true;
            }
        }
        return false;
    }

    private boolean assign(long nowMillis, Job job) {
        Task task = nextTask(job);
        if (task == null || isUnfit(job)) {
            job.blockedPass = pass;
            return false;
        }
        Worker worker = choice.choose(nowMillis, job);
        if (worker == null) {
            job.blockedPass = pass;
            if (job.failedOn.isEmpty()) {
                unfit.add(job.size());
            }
            return false;
        }
        book.unqueue(task);
        task.state = TaskChart.next(task.state, TaskEvent.CHOSEN);
        task.attempt++;
        task.forgetAttempt();
        book.attach(nowMillis, task, worker);
        worker.health.started(task);
        order.refresh(job.customer);
        Change change = Change.of(task, task.state);
        writes.add(change);
        book.decide(
                task.id().value(),
                "task-placed",
                worker,
                book.policy.name().toLowerCase(Locale.ROOT));
        return true;
    }

    private static Task nextTask(Job job) {
        for (Task task : job.queued) {
            if (!task.busy) {
                return task;
            }
        }
        return null;
    }

    /** Tells whether a size that is no larger has found no worker in this pass. */
    private boolean isUnfit(Job job) {
        if (job.replicas) {
            return false;
        }
        for (Resources size : unfit) {
            if (size.isWithin(job.size())) {
                return true;
            }
        }
        return false;
    }
}
