package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.peridotcourse.Resources;

/**
 * Keeps what a customer has running within its limit. A start counts from its order until the run
 * has certainly ended, and runs that a worker lists of tasks that are not wanted count too.
 *
 * <p>A successor does not know the runs of workers that have not reported to it. A customer is
 * charged with what its inherited tasks may hold there, and with no more than the room of these
 * workers: the capacity once for tasks that reserve processor, and the processor once more for
 * filling tasks, which {@link WorkerChoice} keeps within it for customers with a limit. Workers
 * that list a run of a job that was never read are charged with all their room. The charge of a
 * worker ends with its first report or its leases.
 *
 * <p>Confined to one thread.
 */
final class CustomerLimits {
    /** A customer that was not held back for this long counts as free again. */
    private static final long FREE_AFTER_MILLIS = 1_000;

    private final OwnerState state;

    /** Listed runs that are not wanted, by customer. */
    private final Map<String, Resources> strays = new HashMap<>();

    /** The room of workers that have not reported. */
    private Resources uncounted = Resources.ZERO;

    /** The room of workers that list runs of unknown size. */
    private Resources unread = Resources.ZERO;

    /** By customer, what inherited tasks may hold on workers that have not reported. */
    private final Map<String, Resources> unseen = new HashMap<>();

    /** Customers that are held back, with the last time at which a step was. */
    private final Map<String, Long> heldBackAt = new LinkedHashMap<>();

    CustomerLimits(OwnerState state) {
        this.state = state;
    }

    /** Determines anew what is unknown, and which customers are no longer held back. */
    void refresh(long now) {
        strays.clear();
        unseen.clear();
        uncounted = Resources.ZERO;
        unread = Resources.ZERO;
        for (Worker worker : state.workers.values()) {
            boolean leased = now < worker.leaseOverAt;
            if (!worker.counted) {
                uncounted = leased ? uncounted.plus(room(worker)) : uncounted;
            } else if (!worker.strays.isEmpty() && (worker.reachable || leased)) {
                countStrays(worker);
            }
        }
        if (!uncounted.equals(Resources.ZERO)) {
            state.jobs.values().forEach(this::countUnseen);
        }
        noteFree(now);
    }

    private void countUnseen(Job job) {
        if (job.customer.isEmpty() || !job.inherited || !job.isActive()) {
            return;
        }
        Resources sum = Resources.ZERO;
        for (Occurrence occurrence : job.occurrences) {
            for (Step step : occurrence.steps) {
                sum = sum.plus(times(step.spec.need(), unseenRuns(step)));
            }
        }
        unseen.merge(job.customer.get(), sum, Resources::plus);
    }

    private int unseenRuns(Step step) {
        int most = step.spec.isSpeculative() ? 2 : 1;
        int sum = 0;
        for (Task task : step.tasks) {
            if (!task.done && !state.census.isFree(task)) {
                sum += Math.max(0, most - task.runs.size());
            }
        }
        return sum;
    }

    private void countStrays(Worker worker) {
        boolean hasUnread = false;
        for (Run.Key key : worker.strays.keySet()) {
            Task task = state.task(key.task()).orElse(null);
            if (task == null) {
                hasUnread = true;
            } else {
                Resources need = task.step.spec.need();
                task.job().customer.ifPresent(name -> strays.merge(name, need, Resources::plus));
            }
        }
        unread = hasUnread ? unread.plus(room(worker)) : unread;
    }

    /** The most that a worker can run beside its known runs. */
    private static Resources room(Worker worker) {
        Resources capacity = worker.info.capacity();
        Resources reserving = capacity.minus(worker.used()).max(Resources.ZERO);
        long filling = Math.max(0, capacity.milliCores() - worker.fillMilliCores);
        return reserving.plus(Resources.of(filling, 0));
    }

    /**
     * Tells whether the limit of its customer holds back the next task of a step, or all of them if
     * they form a gang.
     */
    boolean holdsBack(Step step, long now) {
        int tasks = step.spec.isGang() ? step.tasks.length : 1;
        Resources need = step.spec.need();
        Resources added = times(need, tasks);
        if (isWithinLimit(step.job(), added, need)) {
            return false;
        }
        noteHeldBack(step, added, now);
        return true;
    }

    /** Tells whether a run that is stopped to be moved may start again elsewhere. */
    boolean mayMove(Run run) {
        return isWithinLimit(run.task.job(), Resources.ZERO, run.spec().need());
    }

    /** Tells whether the customer of a job has a limit. */
    boolean hasLimit(Job job) {
        return !state.customerRules(job).limit().equals(Resources.ZERO);
    }

    /** Returns the number of customers whose work is held back. */
    int heldBack() {
        return heldBackAt.size();
    }

    private boolean isWithinLimit(Job job, Resources added, Resources need) {
        if (job.customer.isEmpty()) {
            return true;
        }
        Resources limit = state.customerRules(job).limit();
        if (limit.equals(Resources.ZERO)) {
            return true;
        }
        Resources held = known(job.customer.get()).plus(unknown(job.customer.get()));
        if (held.equals(Resources.ZERO) && added.equals(need)) {
            // A task that is larger than the limit runs alone.
            return true;
        }
        Resources sum = held.plus(added);
        return isPartWithin(sum.milliCores(), need.milliCores(), limit.milliCores())
                && isPartWithin(sum.memoryMib(), need.memoryMib(), limit.memoryMib())
                && isPartWithin(sum.accelerators(), need.accelerators(), limit.accelerators());
    }

    /** A task that needs nothing of a part does not bring it above the limit. */
    private static boolean isPartWithin(long sum, long need, long limit) {
        return limit == 0 || need == 0 || sum <= limit;
    }

    private Resources known(String customer) {
        return state.usage.of(customer).plus(strays.getOrDefault(customer, Resources.ZERO));
    }

    /** The most that runs of unknown size or on unknown workers may hold. */
    private Resources unknown(String customer) {
        return unseen.getOrDefault(customer, Resources.ZERO).min(uncounted).plus(unread);
    }

    private static Resources times(Resources need, int count) {
        return Resources.of(
                need.milliCores() * count, need.memoryMib() * count, need.accelerators() * count);
    }

    private void noteHeldBack(Step step, Resources added, long now) {
        String customer = step.job().customer.orElseThrow();
        if (heldBackAt.put(customer, now) == null) {
            state.log(
                    Decision.Kind.CUSTOMER_AT_LIMIT,
                    customer,
                    null,
                    "running="
                            + describe(known(customer))
                            + " unknown="
                            + describe(unknown(customer))
                            + " wanted="
                            + describe(added)
                            + " limit="
                            + describe(state.customerRules(step.job()).limit())
                            + " job="
                            + step.job().id);
        }
    }

    private void noteFree(long now) {
        Iterator<Map.Entry<String, Long>> entries = heldBackAt.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Long> entry = entries.next();
            if (now - entry.getValue() >= FREE_AFTER_MILLIS) {
                entries.remove();
                String customer = entry.getKey();
                state.log(
                        Decision.Kind.CUSTOMER_BELOW_LIMIT,
                        customer,
                        null,
                        "running="
                                + describe(known(customer))
                                + " unknown="
                                + describe(unknown(customer)));
            }
        }
    }

    private static String describe(Resources amount) {
        return amount.milliCores() + "/" + amount.memoryMib() + "/" + amount.accelerators();
    }
}
