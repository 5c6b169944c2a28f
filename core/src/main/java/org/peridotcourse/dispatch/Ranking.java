package org.peridotcourse.dispatch;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The workers that may run the tasks of one step, best first. All workers are weighed once for the
 * step; a worker is weighed again only when it comes first. Used within one round of decisions and
 * confined to one thread.
 */
final class Ranking {
    private final WorkerChoice choice;
    private final long now;
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Entry::cost).thenComparingInt(Entry::order));
    private int added;

    /** A worker with its cost when it was last weighed. */
    private record Entry(Worker worker, double cost, int order) {}

    Ranking(WorkerChoice choice, long now) {
        this.choice = choice;
        this.now = now;
    }

    void add(Worker worker, double cost) {
        entries.add(new Entry(worker, cost, added++));
    }

    /** Returns the best worker for the next task, or empty if none has room. */
    Optional<Worker> best(Task task) {
        WorkerChoice.Search search = choice.search(task, now);
        while (!entries.isEmpty()) {
            Entry first = entries.poll();
            Worker worker = first.worker();
            if (!worker.fits(search.spec()) || !choice.mayRun(worker, search, now)) {
                continue;
            }
            Entry present = new Entry(worker, choice.cost(worker, task, now), first.order());
            entries.add(present);
            if (entries.peek() == present || present.cost() <= first.cost()) {
                return Optional.of(worker);
            }
        }
        return Optional.empty();
    }
}
