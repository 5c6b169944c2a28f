package org.peridotcourse.placement;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.Resources;

/** Checks the invariants of placement on the workers' own records and on every write. */
final class InvariantChecker {
    /** A violated invariant. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String message) {
            super(message);
        }
    }

    /**
     * Maximum time from taking a data centre out to the last start in it: age of the configuration,
     * lease of a start command, and message delays.
     */
    private static final long OUT_MILLIS = 8_500;

    private final FaultSimulation simulation;

    /** Tasks whose end was written. */
    private final Set<String> ended = new HashSet<>();

    InvariantChecker(FaultSimulation simulation) {
        this.simulation = simulation;
    }

    private void fail(String invariant, String details) {
        throw new Violation(invariant + " at " + simulation.now + " ms: " + details);
    }

    /** Checks a start that a worker is about to carry out. */
    void checkStart(FakeWorker worker, WorkerCommand.Start start) {
        String task = start.task().value();
        long outSince = simulation.outSince(worker.dataCentre);
        if (outSince >= 0 && simulation.now - outSince > OUT_MILLIS) {
            fail(
                    "no start in a data centre that is out",
                    task + " started after " + (simulation.now - outSince) + " ms");
        }
        if (ended.contains(task)) {
            fail("no job done twice", task + " started after its recorded end");
        }
        FakeTable.Stored stored =
                simulation.table.row("tasks", worker.dataCentre.value() + "/" + task);
        if (stored == null) {
            fail("resumes once", task + " started without a row");
            return;
        }
        TaskRow row = (TaskRow) stored.value();
        if (row.attempt() != start.attempt() || !row.worker().equals(Optional.of(worker.id))) {
            fail("resumes once", task + " attempt " + start.attempt() + " but the row is " + row);
        }
        if (!row.checkpoint().equals(start.checkpoint())) {
            fail("newest checkpoint", task + " from " + start.checkpoint() + ", row " + row);
        }
    }

    /** Checks the attempts that workers run now. */
    void checkRunning() {
        Set<String> seen = new HashSet<>();
        for (FakeWorker worker : simulation.workers.values()) {
            Resources sum = Resources.ZERO;
            for (FakeWorker.Attempt attempt : worker.running(simulation.now)) {
                sum = sum.plus(attempt.start.size());
                if (!seen.add(attempt.start.task().value())) {
                    fail("no task in two places", attempt.start.task() + ", also on " + worker.id);
                }
            }
            if (!sum.isWithin(worker.capacity)) {
                fail("no host over capacity", worker.id + " runs " + sum);
            }
        }
    }

    /** Checks a write against the rows before it. */
    void checkWrite(FakeTable table, PlacementAction.WriteRows write) {
        Set<String> stillPresent = new HashSet<>();
        for (TaskRow row : write.taskPuts()) {
            String task = row.task().value();
            stillPresent.add(task);
            if (ended.contains(task)) {
                fail("no job done twice", task + " has a row again after its recorded end");
            }
            FakeTable.Stored stored = table.row("tasks", row.key());
            if (stored != null) {
                checkCheckpoint((TaskRow) stored.value(), row);
            }
        }
        for (String key : write.taskDeletes()) {
            String task = key.substring(key.indexOf('/') + 1);
            if (!stillPresent.contains(task) && !ended.add(task)) {
                fail("no job done twice", task + " ended twice");
            }
        }
        for (JobRow row : write.jobPuts()) {
            if (row.progress().finished() + row.progress().cancelled() > row.spec().tasks()) {
                fail("no job done twice", row.toString());
            }
        }
    }

    private void checkCheckpoint(TaskRow old, TaskRow next) {
        if (next.checkpoint().equals(old.checkpoint()) || next.checkpoint().isEmpty()) {
            if (next.checkpoint().isEmpty() && old.checkpoint().isPresent()) {
                fail("newest checkpoint", "lost from " + old);
            }
            return;
        }
        int attempt = FakeWorker.attemptOf(next.checkpoint().get());
        if (attempt != old.attempt()) {
            fail("a superseded attempt publishes nothing", next + " over " + old);
        }
        long before = old.checkpoint().map(FakeWorker::progressOf).orElse(0L);
        if (FakeWorker.progressOf(next.checkpoint().get()) < before) {
            fail("newest checkpoint", next + " is older than " + old);
        }
    }
}
