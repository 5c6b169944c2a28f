package org.peridotcourse.dispatch;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * A priority queue of the workers that are eligible for the tasks of one step, lowest cost first.
 * The cost of each worker is computed once when it is added, and again only when the worker reaches
 * the head of the queue. Used within one planning round and confined to one thread.
 */
final class WorkerRanking {
    private final WorkerSelector selector;
    private final long now;
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Entry::cost).thenComparingInt(Entry::order));
    private int added;

    /** A worker with its last computed cost and its insertion order, which breaks ties. */
    private record Entry(Worker worker, double cost, int order) {}

    WorkerRanking(WorkerSelector selector, long now) {
        this.selector = selector;
        this.now = now;
    }

    void add(Worker worker, double cost) {
        entries.add(new Entry(worker, cost, added++));
    }

    /**
     * Returns the worker with the lowest cost for a task, or empty if no eligible worker fits it.
     */
    Optional<Worker> bestWorker(Task task) {
        WorkerSelector.WorkerSearch search = selector.newSearch(task, now);
        while (!entries.isEmpty()) {
            Entry first = entries.poll();
            Worker worker = first.worker();
            if (!worker.fits(search.spec()) || !selector.isEligible(worker, search, now)) {
                continue;
            }
            Entry updated = new Entry(worker, selector.cost(worker, task, now), first.order());
            entries.add(updated);
            if (entries.peek() == updated || updated.cost() <= first.cost()) {
                return Optional.of(worker);
            }
        }
        return Optional.empty();
    }
}
