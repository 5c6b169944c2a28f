package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Applies the reports of workers. Confined to one thread. */
final class ReportReader {
    /** A clock that falls back by more than this belongs to a new life. */
    private static final long CLOCK_FALL_MILLIS = 1_000;

    /** Progress below which a projection says little. */
    private static final int LEAST_PERCENT = 5;

    private static final double STARVED_SHARE = 0.8;

    private final OwnerState state;
    private final JobBook jobs;
    private final RunBook runs;

    ReportReader(OwnerState state, JobBook jobs, RunBook runs) {
        this.state = state;
        this.jobs = jobs;
        this.runs = runs;
    }

    void read(Worker worker, WorkerReport report, long sentAt, long now) {
        if (isEarlierLife(worker, report)) {
            return;
        }
        if (isNewLife(worker, report)) {
            onNewLife(worker, report, now);
        }
        worker.life = Math.max(worker.life, report.bornMillis());
        worker.readClock(report.clockMillis(), now);
        worker.lastReportAt = now;
        if (!worker.counted) {
            countLongestLease(worker, now);
        }
        if (!worker.reachable || !worker.counted) {
            worker.reachable = true;
            worker.counted = true;
            state.planDue = true;
            state.log(
                    Decision.Kind.WORKER_USABLE,
                    worker.id,
                    worker,
                    "running=" + report.running().size() + " ended=" + report.ended().size());
        }
        boolean allEndsRead = readEnds(worker, report.ended(), now);
        Map<Run.Key, WorkerReport.Running> listed = new HashMap<>();
        for (WorkerReport.Running running : report.running()) {
            listed.put(new Run.Key(running.task(), running.attempt()), running);
        }
        listed.forEach((key, running) -> onRunning(worker, key, running, now));
        worker.strays.keySet().retainAll(listed.keySet());
        stopMissingStarts(worker, listed, sentAt, now);
        if (!report.whole()) {
            state.log(
                    Decision.Kind.REPORT_DAMAGED, worker.id, worker, "runs=" + worker.runs.size());
        } else if (allEndsRead) {
            endMissing(worker, listed, sentAt, now);
        }
    }

    private static boolean isEarlierLife(Worker worker, WorkerReport report) {
        return report.bornMillis() != 0 && report.bornMillis() < worker.life;
    }

    private static boolean isNewLife(Worker worker, WorkerReport report) {
        if (report.bornMillis() != 0 && worker.life != 0) {
            return report.bornMillis() > worker.life;
        }
        return worker.hasClock() && report.clockMillis() < worker.lastClock() - CLOCK_FALL_MILLIS;
    }

    /**
     * A call with a lease on the clock of an earlier life may have given the present one the
     * longest lease. At the first report it is not known whether there was such a life.
     */
    private void countLongestLease(Worker worker, long now) {
        LeaseTimes times = state.term.times();
        long longest = times.longestMillis(times.longestLeaseMillis());
        worker.leaseOverAt = Math.max(worker.leaseOverAt, now + longest);
    }

    void onNewLife(Worker worker, WorkerReport report, long now) {
        state.log(
                Decision.Kind.WORKER_REBORN,
                worker.id,
                worker,
                "born=" + report.bornMillis() + " runs=" + worker.runs.size());
        worker.life = report.bornMillis();
        worker.seenEnd = 0;
        worker.storedEnd = 0;
        worker.awaitingJobSince = 0;
        countLongestLease(worker, now);
        worker.health.reset();
        worker.strays.clear();
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (run.confirmed) {
                runs.end(run, EndKind.LAPSED, "", now);
            } else {
                // The start may still reach the new life, which does not refuse it by itself.
                run.unanswered = true;
                run.stopConfirmedAt = 0;
                runs.stop(run, StopReason.START_UNANSWERED, now);
            }
        }
    }

    /**
     * Applies ends in their order. An end of a job that is not read yet holds up those behind it,
     * since the worker forgets what is acknowledged and the task would run again.
     *
     * @return true if none is held up
     */
    private boolean readEnds(Worker worker, List<WorkerReport.Ended> ends, long now) {
        for (WorkerReport.Ended ended : ends) {
            if (ended.number() <= worker.seenEnd) {
                continue;
            }
            if (!jobs.isKnown(ended.task().job()) && worker.awaitsJob(now)) {
                return false;
            }
            worker.awaitingJobSince = 0;
            worker.seenEnd = ended.number();
            onEnded(worker, ended, now);
        }
        return true;
    }

    private void onEnded(Worker worker, WorkerReport.Ended ended, long now) {
        jobs.openFor(ended.task(), now);
        Run run = worker.runs.get(new Run.Key(ended.task(), ended.attempt()));
        if (run != null) {
            run.confirm(now);
            runs.end(run, ended.kind(), ended.checkpoint(), now);
            return;
        }
        state.task(ended.task())
                .filter(task -> task.job().isActive())
                .ifPresent(
                        task -> {
                            state.log(
                                    Decision.Kind.RUN_ENDED,
                                    ended.task() + "#" + ended.attempt(),
                                    worker,
                                    "kind=" + ended.kind() + " of=earlier");
                            runs.apply(
                                    task,
                                    ended.attempt(),
                                    worker,
                                    ended.kind(),
                                    ended.checkpoint(),
                                    now);
                        });
    }

    private void onRunning(Worker worker, Run.Key key, WorkerReport.Running running, long now) {
        Run run = worker.runs.get(key);
        if (run == null) {
            jobs.openFor(running.task(), now);
            Optional<Task> task = state.task(running.task());
            if (task.isEmpty() || !mayAdopt(task.get())) {
                boolean known = jobs.isKnown(running.task().job());
                worker.strays.putIfAbsent(key, known ? now : now + Worker.JOB_READ_MILLIS);
                return;
            }
            worker.strays.remove(key);
            run = adopt(task.get(), running, worker, now);
        }
        run.confirm(now);
        if (run.unanswered && run.stopReason == null) {
            run.unanswered = false;
        }
        run.progress(running.percent(), now);
        run.figure = running.figure();
        if (!running.checkpoint().isEmpty() && run.spec().isCheckpointing()) {
            run.task.checkpoint = running.checkpoint();
        }
        sampleRate(run, now);
    }

    private static boolean mayAdopt(Task task) {
        return task.job().isActive() && task.isWaiting();
    }

    private Run adopt(Task task, WorkerReport.Running running, Worker worker, long now) {
        Run run = new Run(task, running.attempt(), worker, now);
        task.lastAttempt = Math.max(task.lastAttempt, running.attempt());
        task.seenAlive = true;
        task.runs.add(run);
        worker.add(run);
        runs.begin(task.job());
        state.log(Decision.Kind.RUN_ADOPTED, run, "percent=" + running.percent());
        return run;
    }

    private void sampleRate(Run run, long now) {
        int gained = run.percent - Math.max(0, run.firstPercent);
        boolean tells = gained >= LEAST_PERCENT && run.percentAt == now && !run.wasPaced;
        if (!tells || run.spec().isLasting() || isStarved(run)) {
            return;
        }
        double projected = (now - run.firstPercentAt) * 100.0 / gained;
        state.durations
                .of(run.task.step)
                .ifPresent(usual -> run.worker.health.onRate(projected / Math.max(1, usual)));
    }

    /** A filling task that gets less processor than it could use is not slow by its worker. */
    private static boolean isStarved(Run run) {
        return run.spec().isFilling()
                && run.figure < STARVED_SHARE * run.spec().need().milliCores();
    }

    /**
     * Stops runs whose starts had no answer and that the worker does not list. Such a start may
     * still be carried out late; the stop makes the worker refuse it.
     */
    private void stopMissingStarts(
            Worker worker, Map<Run.Key, WorkerReport.Running> listed, long sentAt, long now) {
        for (Run run : worker.runs.values()) {
            if (run.unanswered && sentAt > run.unansweredAt && !listed.containsKey(run.key())) {
                runs.stop(run, StopReason.START_UNANSWERED, now);
            }
        }
    }

    /** Ends runs that the worker does not list although it confirmed their start or their stop. */
    private void endMissing(
            Worker worker, Map<Run.Key, WorkerReport.Running> listed, long sentAt, long now) {
        List<Run> missing = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (listed.containsKey(run.key())) {
                continue;
            }
            boolean stopped = run.stopConfirmedAt != 0 && sentAt > run.stopConfirmedAt;
            boolean ended = !run.isStopping() && run.confirmed && sentAt > run.confirmedAt;
            if (stopped || ended) {
                missing.add(run);
            }
        }
        for (Run run : missing) {
            runs.end(run, run.isStopping() ? EndKind.STOPPED : EndKind.LAPSED, "", now);
        }
    }
}
