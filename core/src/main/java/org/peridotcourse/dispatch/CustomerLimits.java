package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.peridotcourse.Resources;

/**
 * Enforces the limit on the resources that the runs of a customer use at the same time. A run
 * counts from the moment it is ordered until it has certainly ended. Runs that a worker reports
 * although their tasks should no longer run count too.
 *
 * <p>A new owner has no record of the runs on workers that have not reported to it yet. It charges
 * a customer with the resources that the customer's inherited tasks may use there, up to the free
 * capacity of these workers: the capacity once for tasks that reserve processor, and the processor
 * a second time for filling tasks, which {@link WorkerSelector} keeps within that amount for
 * customers with a limit. For a worker that reports a run of a job that was never read from the
 * store, every customer is charged with the whole free capacity of that worker. The charge for a
 * worker that has not reported ends with its first report or when its leases expire.
 *
 * <p>Confined to one thread.
 */
final class CustomerLimits {
    /** Time without a blocked start after which a customer no longer counts as blocked. */
    private static final long BELOW_LIMIT_AFTER_MILLIS = 1_000;

    private final OwnerState state;

    /** By customer, resources of reported runs whose tasks should no longer run. */
    private final Map<String, Resources> unknownRunUsage = new HashMap<>();

    /** Free capacity of the workers that have not reported. */
    private Resources unreportedCapacity = Resources.ZERO;

    /** Free capacity of the workers that report runs of jobs that were not read from the store. */
    private Resources unreadJobCapacity = Resources.ZERO;

    /** By customer, resources that inherited tasks may use on workers that have not reported. */
    private final Map<String, Resources> inheritedUsage = new HashMap<>();

    /** Customers with blocked starts, with the time of the last one. */
    private final Map<String, Long> lastBlockedAt = new LinkedHashMap<>();

    CustomerLimits(OwnerState state) {
        this.state = state;
    }

    /**
     * Recomputes the charges for unknown runs, and unmarks customers whose starts are no longer
     * blocked.
     */
    void refresh(long now) {
        unknownRunUsage.clear();
        inheritedUsage.clear();
        unreportedCapacity = Resources.ZERO;
        unreadJobCapacity = Resources.ZERO;
        for (Worker worker : state.workers.values()) {
            boolean leased = now < worker.leaseExpiresAt;
            if (!worker.hasReported) {
                unreportedCapacity =
                        leased ? unreportedCapacity.plus(freeCapacity(worker)) : unreportedCapacity;
            } else if (!worker.unknownRuns.isEmpty() && (worker.reachable || leased)) {
                addUnknownRuns(worker);
            }
        }
        if (!unreportedCapacity.equals(Resources.ZERO)) {
            state.jobs.values().forEach(this::addInheritedUsage);
        }
        unmarkUnblocked(now);
    }

    private void addInheritedUsage(Job job) {
        if (job.customer.isEmpty() || !job.inherited || !job.isActive()) {
            return;
        }
        Resources sum = Resources.ZERO;
        for (Occurrence occurrence : job.occurrences) {
            for (Step step : occurrence.steps) {
                sum = sum.plus(times(step.spec.resources(), possibleRuns(step)));
            }
        }
        inheritedUsage.merge(job.customer.get(), sum, Resources::plus);
    }

    private int possibleRuns(Step step) {
        int maxRuns = step.spec.isSpeculative() ? 2 : 1;
        int sum = 0;
        for (Task task : step.tasks) {
            if (!task.done && !state.reconciliation.isSafeToStart(task)) {
                sum += Math.max(0, maxRuns - task.runs.size());
            }
        }
        return sum;
    }

    private void addUnknownRuns(Worker worker) {
        boolean hasUnread = false;
        for (Run.Key key : worker.unknownRuns.keySet()) {
            Task task = state.task(key.task()).orElse(null);
            if (task == null) {
                hasUnread = true;
            } else {
                Resources perTask = task.step.spec.resources();
                task.job()
                        .customer
                        .ifPresent(name -> unknownRunUsage.merge(name, perTask, Resources::plus));
            }
        }
        unreadJobCapacity =
                hasUnread ? unreadJobCapacity.plus(freeCapacity(worker)) : unreadJobCapacity;
    }

    /** Returns the most that a worker can run in addition to its known runs. */
    private static Resources freeCapacity(Worker worker) {
        Resources capacity = worker.info.capacity();
        Resources reserving = capacity.minus(worker.reserved()).max(Resources.ZERO);
        long filling = Math.max(0, capacity.milliCores() - worker.fillDemandMilliCores);
        return reserving.plus(Resources.of(filling, 0));
    }

    /**
     * Returns whether the next start for a step would exceed the limit of its customer, and records
     * the customer as blocked if so. The next start is one task, or all tasks of a gang.
     */
    boolean blocksStart(Step step, long now) {
        int taskCount = step.spec.isGang() ? step.tasks.length : 1;
        Resources perTask = step.spec.resources();
        Resources added = times(perTask, taskCount);
        if (isWithinLimit(step.job(), added, perTask)) {
            return false;
        }
        markBlocked(step, added, now);
        return true;
    }

    /**
     * Returns whether the limit allows a run to be restarted on another worker after it is stopped.
     */
    boolean allowsMove(Run run) {
        return isWithinLimit(run.task.job(), Resources.ZERO, run.spec().resources());
    }

    /** Returns whether the customer of a job has a limit. */
    boolean hasLimit(Job job) {
        return !state.customerRules(job).limit().equals(Resources.ZERO);
    }

    /** Returns the number of customers whose starts are blocked by their limits. */
    int customersAtLimit() {
        return lastBlockedAt.size();
    }

    private boolean isWithinLimit(Job job, Resources added, Resources perTask) {
        if (job.customer.isEmpty()) {
            return true;
        }
        Resources limit = state.customerRules(job).limit();
        if (limit.equals(Resources.ZERO)) {
            return true;
        }
        Resources used = knownUsage(job.customer.get()).plus(possibleUsage(job.customer.get()));
        if (used.equals(Resources.ZERO) && added.equals(perTask)) {
            // A task that is larger than the limit may run if nothing else of the customer does.
            return true;
        }
        Resources sum = used.plus(added);
        return isResourceWithin(sum.milliCores(), perTask.milliCores(), limit.milliCores())
                && isResourceWithin(sum.memoryMib(), perTask.memoryMib(), limit.memoryMib())
                && isResourceWithin(
                        sum.accelerators(), perTask.accelerators(), limit.accelerators());
    }

    /** Checks one resource. A task that needs none of it is within any limit. */
    private static boolean isResourceWithin(long sum, long perTask, long limit) {
        return limit == 0 || perTask == 0 || sum <= limit;
    }

    private Resources knownUsage(String customer) {
        return state.usage
                .of(customer)
                .plus(unknownRunUsage.getOrDefault(customer, Resources.ZERO));
    }

    /**
     * Returns the most that the customer may use beyond its known runs: in runs of jobs that were
     * not read from the store and on workers that have not reported.
     */
    private Resources possibleUsage(String customer) {
        return inheritedUsage
                .getOrDefault(customer, Resources.ZERO)
                .min(unreportedCapacity)
                .plus(unreadJobCapacity);
    }

    private static Resources times(Resources perTask, int count) {
        return Resources.of(
                perTask.milliCores() * count,
                perTask.memoryMib() * count,
                perTask.accelerators() * count);
    }

    private void markBlocked(Step step, Resources added, long now) {
        String customer = step.job().customer.orElseThrow();
        if (lastBlockedAt.put(customer, now) == null) {
            state.log(
                    Decision.Kind.CUSTOMER_AT_LIMIT,
                    customer,
                    null,
                    "running="
                            + describe(knownUsage(customer))
                            + " unknown="
                            + describe(possibleUsage(customer))
                            + " wanted="
                            + describe(added)
                            + " limit="
                            + describe(state.customerRules(step.job()).limit())
                            + " job="
                            + step.job().id);
        }
    }

    private void unmarkUnblocked(long now) {
        Iterator<Map.Entry<String, Long>> entries = lastBlockedAt.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Long> entry = entries.next();
            if (now - entry.getValue() >= BELOW_LIMIT_AFTER_MILLIS) {
                entries.remove();
                String customer = entry.getKey();
                state.log(
                        Decision.Kind.CUSTOMER_BELOW_LIMIT,
                        customer,
                        null,
                        "running="
                                + describe(knownUsage(customer))
                                + " unknown="
                                + describe(possibleUsage(customer)));
            }
        }
    }

    private static String describe(Resources amount) {
        return amount.milliCores() + "/" + amount.memoryMib() + "/" + amount.accelerators();
    }
}
