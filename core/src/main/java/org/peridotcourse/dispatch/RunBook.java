package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Manages the lifecycle of runs: starts, stops and ends. Confined to one thread. */
final class RunBook {
    /** Time after which a stop that has not been confirmed is sent again. */
    static final long STOP_RETRY_MILLIS = 300;

    /** Time without starts for a worker that rejected one for lack of capacity. */
    static final long NO_ROOM_PAUSE_MILLIS = 300;

    /** Time without starts for a worker that reported itself unhealthy. */
    static final long UNHEALTHY_PAUSE_MILLIS = 1_000;

    /**
     * Delay before a task is started again whose start was rejected as malformed or for its ticket.
     */
    static final long MALFORMED_PAUSE_MILLIS = 1_000;

    private final OwnerState state;
    private final JobBook jobs;

    RunBook(OwnerState state, JobBook jobs) {
        this.state = state;
        this.jobs = jobs;
    }

    /** Orders the start of a task under its next attempt number. */
    Run start(Task task, Worker worker, long now, String cause) {
        return start(task, worker, task.lastAttempt + 1, Optional.empty(), now, cause);
    }

    Run start(
            Task task,
            Worker worker,
            int attempt,
            Optional<String> ticket,
            long now,
            String cause) {
        Run run = new Run(task, attempt, worker, now);
        long waited = task.waited(now);
        task.lastAttempt = Math.max(task.lastAttempt, attempt);
        task.seenAlive = true;
        task.runs.add(run);
        worker.add(run);
        StepSpec spec = task.step.spec;
        if (spec.isFilling()) {
            for (Run serving : worker.servingLoads()) {
                state.tails.onStart(serving.image(), run.image(), now);
            }
        }
        String checkpoint = spec.isCheckpointing() ? task.checkpoint : "";
        state.order(
                new Order.Start(
                        worker.info,
                        task.ref,
                        attempt,
                        state.term.epoch(),
                        task.job().spec.payload(),
                        worker.grant(now, state.term.times(), state.orderUntil),
                        checkpoint,
                        ticket));
        state.log(
                Decision.Kind.RUN_ORDERED,
                run,
                cause + " waited=" + waited + " resumed=" + !checkpoint.isEmpty());
        return run;
    }

    /** Requests the stop of a run, unless that was done before. */
    void stop(Run run, StopReason reason, long now) {
        if (!run.isStopping()) {
            run.requestStop(reason, now);
            state.log(
                    Decision.Kind.RUN_STOPPED,
                    run,
                    "reason=" + reason.code() + " percent=" + run.percent);
        }
    }

    /** Adds the stop orders that are due. */
    void sendStops(long now) {
        for (Worker worker : state.workers.values()) {
            if (!worker.reachable && !worker.runs.isEmpty()) {
                // The stop is sent once the worker answers again.
                continue;
            }
            if (worker.hasStops) {
                sendStops(worker, now);
            }
            worker.strays.replaceAll(
                    (key, dueAt) -> {
                        if (dueAt > now) {
                            return dueAt;
                        }
                        sendStop(worker, key, StopReason.NOT_WANTED);
                        return now + STOP_RETRY_MILLIS;
                    });
        }
    }

    private void sendStops(Worker worker, long now) {
        worker.hasStops = false;
        for (Run run : worker.runs.values()) {
            worker.hasStops |= run.isStopping();
            if (run.isStopping() && run.stopConfirmedAt == 0 && run.stopDueAt <= now) {
                run.stopDueAt = now + STOP_RETRY_MILLIS;
                sendStop(worker, run.key(), run.stopReason);
            }
        }
    }

    private void sendStop(Worker worker, Run.Key key, StopReason reason) {
        state.order(
                new Order.Stop(worker.info, key.task(), key.attempt(), state.term.epoch(), reason));
    }

    /** Handles the reply to an order. */
    void onReply(Order order, OrderReply reply, long now) {
        Worker worker = state.workers.get(order.worker().id());
        if (reply == OrderReply.STALE_EPOCH) {
            depose(worker);
            return;
        }
        if (worker == null) {
            return;
        }
        if (reply != OrderReply.ACCEPTED) {
            state.log(
                    Decision.Kind.ORDER_FAILED,
                    order.task() + "#" + order.attempt(),
                    worker,
                    "order=" + kindOf(order) + " reply=" + reply);
        }
        Run run = worker.runs.get(new Run.Key(order.task(), order.attempt()));
        if (run == null) {
            return;
        }
        if (order instanceof Order.Start) {
            onStartReply(run, reply, now);
        } else if (order instanceof Order.Stop) {
            onStopReply(run, reply, now);
        }
    }

    private static String kindOf(Order order) {
        return order.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
    }

    private void onStartReply(Run run, OrderReply reply, long now) {
        Worker worker = run.worker;
        Task task = run.task;
        switch (reply) {
            case ACCEPTED:
                run.confirm(now);
                begin(task.job());
                return;
            case UNANSWERED:
                // The next report shows whether the worker carried out the start.
                run.unanswered = !run.confirmed;
                run.unansweredAt = now;
                return;
            case NO_ROOM:
                worker.avoidUntil = now + NO_ROOM_PAUSE_MILLIS;
                break;
            case UNHEALTHY:
                worker.avoidUntil = now + UNHEALTHY_PAUSE_MILLIS;
                break;
            case MALFORMED:
            case NO_TICKET:
                task.notBefore = now + MALFORMED_PAUSE_MILLIS;
                break;
            case OTHER_LIFE:
                worker.forgetClock();
                break;
            case NOT_SENT:
                worker.reachable = false;
                break;
            default:
                break;
        }
        release(run, now);
    }

    private void onStopReply(Run run, OrderReply reply, long now) {
        switch (reply) {
            case ACCEPTED:
            case OLD_ATTEMPT:
            case MALFORMED:
                run.stopConfirmedAt = now;
                break;
            case NOT_SENT:
                run.worker.reachable = false;
                break;
            default:
                break;
        }
    }

    /** Stops this owner, since a worker has seen a later epoch. */
    void depose(Worker worker) {
        if (!state.deposed) {
            state.deposed = true;
            state.log(
                    Decision.Kind.DEPOSED,
                    "epoch-" + state.term.epoch(),
                    worker,
                    "epoch=" + state.term.epoch());
        }
    }

    /** Marks a job as started, if it was not. */
    void begin(Job job) {
        if (!job.begun) {
            job.begun = true;
            if (job.state == JobState.QUEUED) {
                job.state = JobState.RUNNING;
                job.changed = true;
            }
        }
    }

    /** Ends a run that this owner tracks. */
    void end(Run run, EndKind kind, String checkpoint, long now) {
        state.log(
                Decision.Kind.RUN_ENDED,
                run,
                "kind=" + kind + " ran=" + (now - run.orderedAt) + " percent=" + run.percent);
        release(run, now);
        if (kind == EndKind.DONE) {
            run.worker.health.onSuccess();
            state.durations.onDone(run, now);
        } else if (kind == EndKind.FAILED) {
            onFailed(run, now);
        }
        apply(run.task, run.attempt, run.worker, kind, checkpoint, now);
    }

    private void onFailed(Run run, long now) {
        Task task = run.task;
        boolean failedElsewhere = hasFailedElsewhere(task, run.worker.id);
        task.failedOn.add(run.worker.id);
        if (failedElsewhere || task.step.spec.isLasting()) {
            return;
        }
        if (run.worker.health.onFailure(task.ref.job(), now)) {
            quarantined(run.worker, "failures");
        }
    }

    void quarantined(Worker worker, String cause) {
        state.log(Decision.Kind.WORKER_QUARANTINED, worker.id, worker, "cause=" + cause);
    }

    /** Tells whether a task of the same occurrence has failed on another worker too. */
    private static boolean hasFailedElsewhere(Task task, String worker) {
        for (Step step : task.step.occurrence.steps) {
            for (Task other : step.tasks) {
                for (String failedOn : other.failedOn) {
                    if (!failedOn.equals(worker)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Applies the end of a run to its task; applying it again has no further effect. */
    void apply(Task task, int attempt, Worker worker, EndKind kind, String checkpoint, long now) {
        Job job = task.job();
        job.unstoredEnds.add(worker.id);
        task.lastAttempt = Math.max(task.lastAttempt, attempt);
        begin(job);
        if (task.done) {
            return;
        }
        state.planDue = true;
        if (!checkpoint.isEmpty() && task.step.spec.isCheckpointing()) {
            task.checkpoint = checkpoint;
            job.changed |= kind == EndKind.STOPPED || kind == EndKind.LAPSED;
        }
        if (kind == EndKind.DONE && !task.step.spec.isLasting()) {
            task.step.markDone(task);
            job.changed = true;
            stopOthers(task, now);
            jobs.settle(job, now);
        } else if (kind.isFailure()) {
            jobs.onFailure(task, attempt, now);
        }
    }

    private void stopOthers(Task task, long now) {
        if (task.step.spec.isGang()) {
            // The workers end the other members once one has ended.
            return;
        }
        new ArrayList<>(task.runs).forEach(run -> stop(run, StopReason.NOT_WANTED, now));
    }

    /** Removes a run that has definitely ended or was never started. */
    private void release(Run run, long now) {
        run.worker.remove(run);
        run.task.runs.remove(run);
        run.task.waitingSince = now;
        state.planDue = true;
    }

    /** Ends all runs of unreachable workers whose leases have expired. */
    void expire(long now) {
        for (Worker worker : state.workers.values()) {
            if (worker.reachable || worker.runs.isEmpty() || now < worker.leaseOverAt) {
                continue;
            }
            state.log(
                    Decision.Kind.WORKER_LEASES_OVER,
                    worker.id,
                    worker,
                    "runs=" + worker.runs.size() + " silent=" + (now - worker.lastReportAt));
            endAll(worker, now);
        }
    }

    /** Ends all runs of a worker as lapsed. */
    void endAll(Worker worker, long now) {
        List<Run> runs = new ArrayList<>(worker.runs.values());
        runs.forEach(run -> end(run, EndKind.LAPSED, "", now));
        worker.strays.clear();
    }
}
