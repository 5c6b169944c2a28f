package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Orders the steps that have waiting tasks. The criteria are, most important first:
 *
 * <ol>
 *   <li>steps with a lasting task that has waited for {@link #MAX_LASTING_WAIT_MILLIS}, which would
 *       otherwise starve behind new work of a higher priority if the owner has no time for all;
 *   <li>the priority of the queue;
 *   <li>jobs within the rate of their customer before jobs above it;
 *   <li>customers below their fair share before customers that have reached it;
 *   <li>steps that can still meet their objective, then steps whose late completion still has
 *       value, then the rest;
 *   <li>steps with less slack and less remaining work first. The slack is the time by which a step
 *       may be delayed without falling into a worse lateness class.
 * </ol>
 *
 * <p>Jobs without a customer count as within their rate and below their share. Confined to one
 * thread.
 */
final class StepOrder {
    /** Multiple of the objective after which completion has no value to the caller. */
    private static final int WORTHLESS_AFTER_FACTOR = 3;

    /** Lateness class of a step whose completion no longer has any value. */
    private static final int WORTHLESS = 2;

    /**
     * Milliseconds that each core millisecond of remaining work adds to the slack. Small jobs are
     * preferred because they have more value for each core second, but large jobs must not starve.
     */
    private static final double WORK_PENALTY = 0.05;

    /** Wait after which a lasting task is started before tasks of a higher priority. */
    static final long MAX_LASTING_WAIT_MILLIS = 1_500;

    private static final Comparator<Candidate> ORDER =
            Comparator.comparing((Candidate candidate) -> !candidate.overdue())
                    .thenComparingInt(Candidate::priority)
                    .thenComparing(Candidate::overRate)
                    .thenComparing(Candidate::shareReached)
                    .thenComparingInt(Candidate::latenessClass)
                    .thenComparingLong(Candidate::slackPlusPenaltyMillis)
                    .thenComparingInt(Candidate::tieBreaker);

    private final OwnerState state;
    private final CustomerShares shares;

    StepOrder(OwnerState state, CustomerShares shares) {
        this.state = state;
        this.shares = shares;
    }

    /**
     * A step with waiting tasks.
     *
     * @param step the step
     * @param tieBreaker the position in the list of candidates, which breaks ties
     * @param overdue true if a lasting task has waited too long
     * @param priority the priority of its queue, 0 first
     * @param overRate true if the job exceeds the rate of its customer
     * @param shareReached true if its customer uses its fair share or more
     * @param latenessClass the lateness class: 0 if the objective can be met, 1 if a late
     *     completion still has value, 2 otherwise
     * @param slackPlusPenaltyMillis the slack in milliseconds, plus a penalty for remaining work;
     *     lower values come first within a lateness class
     */
    record Candidate(
            Step step,
            int tieBreaker,
            boolean overdue,
            int priority,
            boolean overRate,
            boolean shareReached,
            int latenessClass,
            long slackPlusPenaltyMillis) {
        /** Returns a copy for which the customer has reached its share. */
        Candidate withShareReached() {
            return new Candidate(
                    step,
                    tieBreaker,
                    overdue,
                    priority,
                    overRate,
                    true,
                    latenessClass,
                    slackPlusPenaltyMillis);
        }
    }

    /** Returns the steps that have waiting tasks, in the order in which workers are assigned. */
    PriorityQueue<Candidate> waitingSteps(long now) {
        state.rates.markJobsOverRate();
        List<Candidate> candidates = new ArrayList<>();
        for (Job job : state.jobs.values()) {
            if (job.isActive()) {
                collect(job, now, candidates);
            }
        }
        shares.refresh(customers(candidates), now);
        PriorityQueue<Candidate> ordered = new PriorityQueue<>(ORDER);
        for (Candidate candidate : candidates) {
            boolean shareReached = shares.hasReachedShare(candidate.step().job());
            ordered.add(shareReached ? candidate.withShareReached() : candidate);
        }
        return ordered;
    }

    private static Set<String> customers(List<Candidate> candidates) {
        Set<String> customers = new HashSet<>();
        candidates.forEach(candidate -> candidate.step().job().customer.ifPresent(customers::add));
        return customers;
    }

    private void collect(Job job, long now, List<Candidate> candidates) {
        for (Occurrence occurrence : job.occurrences) {
            if (occurrence.dueAt > now) {
                continue;
            }
            OptionalLong workPenalty = OptionalLong.empty();
            for (Step step : occurrence.steps) {
                if (step.isOpen()
                        && step.startableTasks(now) > 0
                        && state.reconciliation.hasTaskSafeToStart(step)) {
                    step.openedAt = step.openedAt == 0 ? now : step.openedAt;
                    if (workPenalty.isEmpty()) {
                        workPenalty = OptionalLong.of(workPenalty(occurrence));
                    }
                    candidates.add(
                            toCandidate(
                                    job, step, workPenalty.getAsLong(), candidates.size(), now));
                }
            }
        }
    }

    private Candidate toCandidate(Job job, Step step, long workPenalty, int tieBreaker, long now) {
        QueueRules rules = state.queueRules(job);
        long objective = rules.objectiveMillis(job.criticalPathMillis(0));
        long age = now - Math.max(step.occurrence.dueAt, job.acceptedAt);
        long remainingMillis = job.criticalPathMillis(step.number);
        int latenessClass = latenessClass(step, age + remainingMillis, objective);
        long slackMillis = slackMillis(latenessClass, age + remainingMillis, objective);
        return new Candidate(
                step,
                tieBreaker,
                isOverdue(step, now),
                rules.priority(),
                job.overRate,
                false,
                latenessClass,
                slackMillis + workPenalty);
    }

    private static boolean isOverdue(Step step, long now) {
        if (!step.spec.isLasting()) {
            return false;
        }
        for (Task task : step.tasks) {
            if (task.mayStart(now) && task.waitedMillis(now) >= MAX_LASTING_WAIT_MILLIS) {
                return true;
            }
        }
        return false;
    }

    private static int latenessClass(Step step, long completionMillis, long objective) {
        if (step.spec.isLasting() || completionMillis <= objective) {
            return 0;
        }
        return completionMillis <= WORTHLESS_AFTER_FACTOR * objective ? 1 : WORTHLESS;
    }

    /**
     * Returns the time by which a step may be delayed without falling into a worse lateness class.
     */
    private static long slackMillis(int latenessClass, long completionMillis, long objective) {
        if (latenessClass == WORTHLESS) {
            return 0;
        }
        long latest = latenessClass == 0 ? objective : WORTHLESS_AFTER_FACTOR * objective;
        return latest - completionMillis;
    }

    private static long workPenalty(Occurrence occurrence) {
        return Math.round(WORK_PENALTY * remainingCoreMillis(occurrence));
    }

    /** Returns the estimated work of the tasks that are not done, in core milliseconds. */
    private static double remainingCoreMillis(Occurrence occurrence) {
        double sum = 0;
        for (Step step : occurrence.steps) {
            double cores = step.spec.resources().milliCores() / 1e3;
            sum += cores * step.remainingTasks * step.spec.estimateMillis();
        }
        return sum;
    }
}
