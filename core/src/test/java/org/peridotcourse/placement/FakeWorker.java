package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkerId;

/** A worker that follows the protocol and records the attempts that it runs. */
final class FakeWorker {
    /** One attempt on this worker. */
    static final class Attempt {
        final WorkerCommand.Start start;
        final long startedMillis;
        final long resumedProgress;
        long leaseUntil;
        WorkerReport.AttemptState state = WorkerReport.AttemptState.RUNNING;
        Optional<String> checkpoint = Optional.empty();
        long progress;
        int throttlePercent = 100;

        Attempt(WorkerCommand.Start start, long nowMillis) {
            this.start = start;
            this.startedMillis = nowMillis;
            this.leaseUntil = start.leaseUntilMillis();
            this.resumedProgress = start.checkpoint().map(FakeWorker::progressOf).orElse(0L);
            this.progress = resumedProgress;
        }
    }

    final WorkerId id;
    final DataCentreId dataCentre;
    final Resources capacity;
    long cutOffUntil;

    /** Time until which requests arrive but answers are lost. */
    long answersLostUntil;

    long reportsLateUntil;
    int incarnation;
    boolean alive = true;

    /** Whether it fails every task that it starts. */
    boolean failsAll;

    /**
     * Whether its tasks make checkpoints; without them they restart from the beginning after a
     * stop.
     */
    boolean savesProgress = true;

    int starts;

    /** Computes the latencies of the services among the running attempts. */
    Function<Collection<Attempt>, List<WorkerReport.ServiceReport>> latency = all -> List.of();

    private final Set<SafetyMechanism> disabled;
    private final InvariantChecker checker;
    private final Map<String, Attempt> attempts = new TreeMap<>();
    private final Map<String, Integer> highestAttempt = new HashMap<>();
    private long epoch;
    private long startedAtMillis;
    private long clockOrigin;
    private double clockRate;

    FakeWorker(
            WorkerHost host, Set<SafetyMechanism> disabled, InvariantChecker checker, double rate) {
        this.id = host.id();
        this.dataCentre = host.dataCentre();
        this.capacity = host.capacity();
        this.disabled = disabled;
        this.checker = checker;
        this.clockRate = rate;
        this.clockOrigin = 1_000_000;
    }

    static int attemptOf(String checkpoint) {
        return Integer.parseInt(
                checkpoint.substring(checkpoint.indexOf('@') + 1, checkpoint.indexOf('#')));
    }

    static long progressOf(String checkpoint) {
        return Long.parseLong(checkpoint.substring(checkpoint.indexOf('#') + 1));
    }

    private long clock(long now) {
        return clockOrigin + (long) ((now - startedAtMillis) * clockRate);
    }

    boolean hasRestartedSince(long now, long reading) {
        return clock(now) < reading;
    }

    void kill() {
        alive = false;
        incarnation++;
        attempts.clear();
        highestAttempt.clear();
        epoch = 0;
    }

    void restart(long now, long newOrigin) {
        alive = true;
        startedAtMillis = now;
        clockOrigin = newOrigin;
    }

    /** Returns whether it runs a task that crashes it. */
    boolean runsCrashingTask(long now) {
        return running(now).stream().anyMatch(run -> run.start.payload().endsWith(",crashes"));
    }

    /** Ends attempts whose lease has expired or whose work is done. */
    void endAttempts(long now) {
        for (Attempt attempt : attempts.values()) {
            if (attempt.state != WorkerReport.AttemptState.RUNNING) {
                continue;
            }
            String[] payload = attempt.start.payload().split(",");
            long duration = payload[0].isEmpty() ? Long.MAX_VALUE / 4 : Long.parseLong(payload[0]);
            long end = attempt.startedMillis + duration - attempt.resumedProgress;
            boolean expired = clock(now) >= attempt.leaseUntil;
            if (expired && !disabled.contains(SafetyMechanism.WORKER_LEASE)) {
                attempt.state = WorkerReport.AttemptState.STOPPED;
            } else if (now >= end) {
                attempt.progress = duration;
                attempt.state =
                        failsAll || (payload.length > 1 && payload[1].equals("fails"))
                                ? WorkerReport.AttemptState.FAILED
                                : WorkerReport.AttemptState.FINISHED;
            } else {
                attempt.progress = attempt.resumedProgress + now - attempt.startedMillis;
                if (attempt.progress % 4_000 < 1_000) {
                    save(attempt);
                }
            }
        }
    }

    /** Stops all running attempts, as under the first-fit policy on a change of a data centre. */
    void stopAll(long now) {
        running(now).forEach(attempt -> attempt.state = WorkerReport.AttemptState.STOPPED);
    }

    private void save(Attempt attempt) {
        if (!savesProgress) {
            return;
        }
        attempt.checkpoint =
                Optional.of(
                        attempt.start.task()
                                + "@"
                                + attempt.start.attempt()
                                + "#"
                                + attempt.progress);
    }

    List<Attempt> running(long now) {
        endAttempts(now);
        List<Attempt> found = new ArrayList<>();
        for (Attempt attempt : attempts.values()) {
            if (attempt.state == WorkerReport.AttemptState.RUNNING) {
                found.add(attempt);
            }
        }
        return found;
    }

    WorkerReport report(long now) {
        endAttempts(now);
        List<WorkerReport.TaskReport> tasks = new ArrayList<>();
        for (Attempt attempt : attempts.values()) {
            tasks.add(
                    new WorkerReport.TaskReport(
                            attempt.start.task(),
                            attempt.start.attempt(),
                            attempt.state,
                            attempt.checkpoint,
                            attempt.progress,
                            attempt.start.size().milliCores() * attempt.throttlePercent / 100,
                            attempt.start.size().memoryMib()));
        }
        return new WorkerReport(id, clock(now), epoch, 0, tasks, latency.apply(running(now)));
    }

    /** Executes commands; an empty result means that the epoch is stale. */
    Optional<PlacementEvent.CommandsAnswered> execute(
            long now, PlacementAction.SendCommands request) {
        endAttempts(now);
        if (request.epoch() < epoch && !disabled.contains(SafetyMechanism.WORKER_EPOCH)) {
            return Optional.empty();
        }
        epoch = Math.max(epoch, request.epoch());
        List<PlacementEvent.CommandResult> results = new ArrayList<>();
        for (WorkerCommand command : request.commands()) {
            results.add(execute(now, command));
        }
        return Optional.of(
                new PlacementEvent.CommandsAnswered(id, request.number(), clock(now), results));
    }

    private PlacementEvent.CommandResult execute(long now, WorkerCommand command) {
        if (command instanceof WorkerCommand.Start start) {
            return start(now, start);
        } else if (command instanceof WorkerCommand.Renew renew) {
            for (Attempt attempt : attempts.values()) {
                long until =
                        attempt.start.latencyCritical()
                                ? renew.serviceUntilMillis()
                                : renew.batchUntilMillis();
                attempt.leaseUntil = Math.max(attempt.leaseUntil, until);
            }
        } else if (command instanceof WorkerCommand.Stop stop) {
            return stop(stop);
        } else if (command instanceof WorkerCommand.Checkpoint checkpoint) {
            Attempt attempt = find(checkpoint.task().value(), checkpoint.attempt());
            if (attempt == null || attempt.state != WorkerReport.AttemptState.RUNNING) {
                return error("not-running");
            }
            save(attempt);
            return new PlacementEvent.CommandResult(Optional.empty(), attempt.checkpoint);
        } else if (command instanceof WorkerCommand.Throttle throttle) {
            Attempt attempt = find(throttle.task().value(), throttle.attempt());
            if (attempt != null) {
                attempt.throttlePercent = throttle.percent();
            }
        }
        return PlacementEvent.CommandResult.OK;
    }

    private Attempt find(String task, int number) {
        Attempt attempt = attempts.get(task);
        return attempt != null && attempt.start.attempt() == number ? attempt : null;
    }

    private PlacementEvent.CommandResult start(long now, WorkerCommand.Start start) {
        String task = start.task().value();
        if (clock(now) >= start.leaseUntilMillis()) {
            return error("lease-expired");
        }
        if (highestAttempt.getOrDefault(task, 0) >= start.attempt()
                && !disabled.contains(SafetyMechanism.WORKER_ATTEMPT)) {
            return error("old-attempt");
        }
        if (checker != null) {
            checker.checkStart(this, start);
        }
        starts++;
        highestAttempt.merge(task, start.attempt(), Math::max);
        attempts.put(task, new Attempt(start, now));
        if (checker != null) {
            checker.checkRunning();
        }
        return PlacementEvent.CommandResult.OK;
    }

    private PlacementEvent.CommandResult stop(WorkerCommand.Stop stop) {
        String task = stop.task().value();
        highestAttempt.merge(task, stop.attempt(), Math::max);
        Attempt attempt = attempts.get(task);
        if (attempt == null || attempt.start.attempt() > stop.attempt()) {
            return PlacementEvent.CommandResult.OK;
        }
        boolean ended =
                attempt.state == WorkerReport.AttemptState.FINISHED
                        || attempt.state == WorkerReport.AttemptState.FAILED;
        if (ended && !stop.release() && attempt.start.attempt() == stop.attempt()) {
            return error("already-ended");
        }
        attempts.remove(task);
        return PlacementEvent.CommandResult.OK;
    }

    private static PlacementEvent.CommandResult error(String code) {
        return new PlacementEvent.CommandResult(Optional.of(code), Optional.empty());
    }
}
