package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.Resources;

/**
 * Checks that work does not wait while there is room for it: a job of which nothing runs waits at
 * most {@link #BOUND_MILLIS} for a worker in calm, and so does each lasting task. It sees only what
 * the workers hold and what the store says.
 */
final class WaitCheck {
    static final long BOUND_MILLIS = 3_000;

    /** Time without a fault before a wait counts. */
    static final long CALM_MILLIS = 4_000;

    /** Time in which a lasting task is placed again after its last run. */
    static final long LASTING_PAUSE_MILLIS = 6_000;

    private static final long PERIOD_MILLIS = DispatchWorld.TICK;

    /** Room that must be free, as a multiple of what the waiting work takes. */
    private static final int SPARE_FACTOR = 2;

    private static final double BUSY_SHARE = 0.5;

    private final DispatchWorld world;
    private final Map<TaskRef, Long> waitingSince = new HashMap<>();
    private final Map<TaskRef, Long> ranAt = new HashMap<>();
    private final Set<TaskRef> active = new HashSet<>();
    private long checkedAt;
    private long faultAt = Long.MIN_VALUE / 2;

    WaitCheck(DispatchWorld world) {
        this.world = world;
    }

    /** Takes note that something is out of order now. */
    void fault() {
        faultAt = world.now;
    }

    /** Returns what has waited for too long, or empty. */
    Optional<String> check() {
        if (world.now - checkedAt < PERIOD_MILLIS) {
            return Optional.empty();
        }
        checkedAt = world.now;
        if (world.storeAway || !world.cut.isEmpty() || world.lateShare > 0) {
            fault();
        }
        active.clear();
        for (FakeRunner runner : world.runners.values()) {
            runner.active.keySet().forEach(key -> active.add(key.task()));
        }
        active.forEach(task -> ranAt.put(task, world.now));
        for (JobEntry job : world.jobs.values()) {
            Optional<String> found = check(job);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private Optional<String> check(JobEntry job) {
        boolean ended = world.cancelled.contains(job.id()) || world.state(job.id()).isFinal();
        boolean runs = active.stream().anyMatch(task -> task.job().equals(job.id()));
        List<StepSpec> steps = job.spec().steps();
        for (int step = 0; step < steps.size(); step++) {
            StepSpec spec = steps.get(step);
            boolean open = !ended && isOpen(job, step);
            for (int i = 0; i < spec.count(); i++) {
                TaskRef task = new TaskRef(job.id(), 0, step, i);
                boolean waits = open && !active.contains(task) && !isDone(task, spec);
                boolean counts = waits && (spec.isLasting() ? hasPaused(task) : !runs && !isBusy());
                if (!counts || !hasRoom(spec, job.id(), step)) {
                    waitingSince.remove(task);
                    continue;
                }
                long since = waitingSince.computeIfAbsent(task, key -> world.now);
                long from = Math.max(since, faultAt + CALM_MILLIS);
                if (world.now - from > BOUND_MILLIS) {
                    return Optional.of(
                            task + " has waited since " + since + " at " + world.now + " " + spec);
                }
            }
        }
        return Optional.empty();
    }

    private boolean hasPaused(TaskRef task) {
        return world.now - ranAt.getOrDefault(task, Long.MIN_VALUE / 2) >= LASTING_PAUSE_MILLIS;
    }

    private boolean isOpen(JobEntry job, int step) {
        for (int before : job.spec().steps().get(step).after()) {
            StepSpec spec = job.spec().steps().get(before);
            for (int i = 0; i < spec.count(); i++) {
                if (!isDone(new TaskRef(job.id(), 0, before, i), spec)) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean isDone(TaskRef task, StepSpec spec) {
        if (!spec.isGang()) {
            return world.everDone.contains(task);
        }
        for (int i = 0; i < spec.count(); i++) {
            if (world.everDone.contains(new TaskRef(task.job(), 0, task.step(), i))) {
                return true;
            }
        }
        return false;
    }

    private boolean isBusy() {
        long used = 0;
        long all = 0;
        for (FakeRunner runner : world.runners.values()) {
            if (runner.up) {
                used += runner.used().milliCores();
                all += runner.capacity.milliCores();
            }
        }
        return used >= BUSY_SHARE * all;
    }

    private boolean hasRoom(StepSpec spec, String job, int step) {
        int wanted = SPARE_FACTOR * (spec.isGang() ? spec.count() : 1);
        int places = 0;
        for (FakeRunner runner : world.runners.values()) {
            places += places(runner, spec, job, step, wanted);
        }
        return places >= wanted;
    }

    private static int places(FakeRunner runner, StepSpec spec, String job, int step, int most) {
        boolean labelled = spec.requiredLabel().map(runner.labels::contains).orElse(true);
        if (!runner.up || runner.draining || !labelled) {
            return 0;
        }
        long there =
                runner.active.keySet().stream()
                        .filter(key -> key.task().job().equals(job) && key.task().step() == step)
                        .count();
        Resources used = runner.used();
        int places = 0;
        while (places < most
                && (spec.maxPerWorker() == 0 || there + places < spec.maxPerWorker())
                && used.plus(spec.reserved()).isWithin(runner.capacity)) {
            used = used.plus(spec.reserved());
            places++;
        }
        return places;
    }
}
