package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Applies the reports of workers to the state of the owner. Confined to one thread. */
final class ReportProcessor {
    /**
     * If the reading of a worker's monotonic clock decreases by more than this, the worker has a
     * new incarnation.
     */
    private static final long MAX_CLOCK_DECREASE_MILLIS = 1_000;

    /** Longest time after which a worker may carry out a call that had no answer. */
    private static final long MAX_CALL_DELAY_MILLIS = 12_000;

    /** Progress since the first report below which a projected duration is too inaccurate. */
    private static final int MIN_GAINED_PERCENT = 5;

    /** A filling task is starved if it uses less than this share of the processor that it needs. */
    private static final double STARVED_SHARE = 0.8;

    private final OwnerState state;
    private final JobRegistry jobs;
    private final RunLifecycle runs;

    ReportProcessor(OwnerState state, JobRegistry jobs, RunLifecycle runs) {
        this.state = state;
        this.jobs = jobs;
        this.runs = runs;
    }

    void apply(Worker worker, WorkerReport report, long sentAt, long now) {
        if (isFromEarlierIncarnation(worker, report)) {
            return;
        }
        if (isFromNewIncarnation(worker, report)) {
            onNewIncarnation(worker, report, sentAt, now);
        }
        worker.incarnation = Math.max(worker.incarnation, report.startedAtMillis());
        state.crashes.onReport(worker);
        worker.reportedAddress = worker.calledAddress;
        if (!worker.hasReported) {
            endEarlierWorkersAtAddressOf(worker, now);
        }
        worker.onClockReading(report.clockMillis(), now);
        worker.lastReportAt = now;
        worker.lastReportSentAt = sentAt;
        worker.wasAliveAt(sentAt);
        if (!worker.hasReported) {
            worker.incarnationSeenAt = now;
        }
        if (now - worker.incarnationSeenAt < MAX_CALL_DELAY_MILLIS) {
            assumeLongestLease(worker, now);
        }
        if (!worker.reachable || !worker.hasReported) {
            worker.reachable = true;
            worker.hasReported = true;
            state.planDue = true;
            state.log(
                    Decision.Kind.WORKER_USABLE,
                    worker.id,
                    worker,
                    "running=" + report.running().size() + " ended=" + report.ended().size());
        }
        worker.mayHaveMoreEnds = report.mayHaveMoreEnds();
        boolean allEndsApplied = applyEnds(worker, report.ended(), now);
        Map<Run.Key, WorkerReport.ActiveRun> listed = new HashMap<>();
        for (WorkerReport.ActiveRun active : report.running()) {
            listed.put(new Run.Key(active.task(), active.attempt()), active);
        }
        listed.forEach((key, active) -> onActiveRun(worker, key, active, now));
        worker.unknownRuns.keySet().retainAll(listed.keySet());
        stopMissingStarts(worker, listed, sentAt, now);
        if (!report.complete()) {
            state.log(
                    Decision.Kind.REPORT_DAMAGED, worker.id, worker, "runs=" + worker.runs.size());
        } else if (allEndsApplied && !report.mayHaveMoreEnds()) {
            endMissing(worker, listed, sentAt, now);
        }
    }

    /** Ends the workers that had the address before; a restarted worker may get another id. */
    private void endEarlierWorkersAtAddressOf(Worker worker, long now) {
        for (Worker other : state.workers.values()) {
            boolean hadAddress = other.reportedAddress.equals(worker.reportedAddress);
            if (other != worker && other.hasReported && !other.reachable && hadAddress) {
                runs.onAddressTaken(other, worker.reportedAddress, now);
            }
        }
    }

    private static boolean isFromEarlierIncarnation(Worker worker, WorkerReport report) {
        return report.startedAtMillis() != 0 && report.startedAtMillis() < worker.incarnation;
    }

    private static boolean isFromNewIncarnation(Worker worker, WorkerReport report) {
        if (report.startedAtMillis() != 0 && worker.incarnation != 0) {
            return report.startedAtMillis() > worker.incarnation;
        }
        return worker.hasClockReading()
                && report.clockMillis() < worker.lastClockReading() - MAX_CLOCK_DECREASE_MILLIS;
    }

    /**
     * Assumes that the worker has just been granted the longest lease that it accepts. A call whose
     * lease end was computed for the clock of an earlier incarnation may have had that effect on
     * the current one, also seconds after its first report. At the first report to this owner it is
     * not known whether there was an earlier incarnation.
     */
    private void assumeLongestLease(Worker worker, long now) {
        LeaseTimes times = state.term.leaseTimes();
        long maxLeaseMillis = times.maxLocalMillis(times.maxLeaseMillis());
        worker.leaseExpiresAt = Math.max(worker.leaseExpiresAt, now + maxLeaseMillis);
    }

    /**
     * Ends the runs of the incarnation before. Orders name the worker only, so the new incarnation
     * may have carried out starts that were meant for the one before. Those that were confirmed
     * before this call was sent are in the report and are adopted from it; those that were
     * confirmed later are judged by the next report.
     */
    private void onNewIncarnation(Worker worker, WorkerReport report, long sentAt, long now) {
        state.log(
                Decision.Kind.WORKER_REBORN,
                worker.id,
                worker,
                "born=" + report.startedAtMillis() + " runs=" + worker.runs.size());
        state.crashes.onCrashed(worker, now);
        if (!worker.hasReported) {
            state.reconciliation.onWorkerMissing();
        }
        worker.incarnation = report.startedAtMillis();
        worker.lastAppliedEnd = 0;
        worker.lastStoredEnd = 0;
        worker.awaitingJobSince = 0;
        worker.incarnationSeenAt = now;
        worker.health.reset();
        worker.unknownRuns.clear();
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (run.confirmed && run.confirmedAt < sentAt) {
                runs.end(run, RunOutcome.LAPSED, EndSource.INCARNATION, "", now);
                continue;
            }
            // A stop that the incarnation before has confirmed does not bind this one.
            run.stopConfirmedAt = 0;
            if (!run.confirmed) {
                // The start may still reach the new incarnation, which has no reason to reject it.
                run.startUnanswered = true;
                runs.stop(run, StopReason.START_UNANSWERED, now);
            }
        }
    }

    /**
     * Applies the ends of runs in sequence. An end of a job that has not been read from the store
     * yet blocks those after it: the worker would discard the end once it is acknowledged, and the
     * task would run again.
     *
     * @return true if no end is blocked
     */
    private boolean applyEnds(Worker worker, List<WorkerReport.EndedRun> ends, long now) {
        for (WorkerReport.EndedRun ended : ends) {
            if (ended.number() <= worker.lastAppliedEnd) {
                continue;
            }
            if (!jobs.wasRead(ended.task().job()) && worker.mayWaitForJob(now)) {
                return false;
            }
            worker.awaitingJobSince = 0;
            worker.lastAppliedEnd = ended.number();
            onRunEnded(worker, ended, now);
        }
        return true;
    }

    private void onRunEnded(Worker worker, WorkerReport.EndedRun ended, long now) {
        jobs.openOccurrenceOf(ended.task(), now);
        Run run = worker.runs.get(new Run.Key(ended.task(), ended.attempt()));
        if (run != null) {
            run.confirm(now);
            runs.end(run, ended.outcome(), EndSource.REPORT, ended.checkpoint(), now);
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
                                    "kind=" + ended.outcome() + " of=earlier");
                            runs.applyEnd(
                                    task,
                                    ended.attempt(),
                                    worker,
                                    ended.outcome(),
                                    ended.checkpoint(),
                                    now);
                        });
    }

    private void onActiveRun(Worker worker, Run.Key key, WorkerReport.ActiveRun active, long now) {
        Run run = worker.runs.get(key);
        if (run == null) {
            jobs.openOccurrenceOf(active.task(), now);
            Optional<Task> task = state.task(active.task());
            if (task.isEmpty() || !mayAdopt(task.get())) {
                boolean wasRead = jobs.wasRead(active.task().job());
                worker.unknownRuns.putIfAbsent(
                        key, wasRead ? now : now + Worker.JOB_READ_TIMEOUT_MILLIS);
                return;
            }
            worker.unknownRuns.remove(key);
            run = adopt(task.get(), active, worker, now);
        }
        run.confirm(now);
        if (run.startUnanswered && run.stopReason == null) {
            run.startUnanswered = false;
        }
        run.updateProgress(active.percent(), now);
        run.measurement = active.measurement();
        if (!active.checkpoint().isEmpty() && run.spec().isCheckpointing()) {
            run.task.checkpoint = active.checkpoint();
        }
        sampleSlowdown(run, now);
    }

    private static boolean mayAdopt(Task task) {
        return task.job().isActive() && task.isWaiting();
    }

    private Run adopt(Task task, WorkerReport.ActiveRun active, Worker worker, long now) {
        Run run = new Run(task, active.attempt(), worker, now);
        run.paceKnown = false;
        task.lastAttempt = Math.max(task.lastAttempt, active.attempt());
        task.markStartedOrAdopted();
        task.runs.add(run);
        worker.add(run);
        runs.markStarted(task.job());
        state.log(Decision.Kind.RUN_ADOPTED, run, "percent=" + active.percent());
        return run;
    }

    private void sampleSlowdown(Run run, long now) {
        int gainedPercent = run.percent - Math.max(0, run.firstPercent);
        boolean usable =
                gainedPercent >= MIN_GAINED_PERCENT && run.progressedAt == now && !run.wasThrottled;
        if (!usable || run.spec().isLasting() || isStarved(run)) {
            return;
        }
        double projected = (now - run.firstPercentAt) * 100.0 / gainedPercent;
        state.durationPredictor
                .predictMillis(run.task.step)
                .ifPresent(
                        predictedMillis ->
                                run.worker.health.onSlowdownSample(
                                        projected / Math.max(1, predictedMillis)));
    }

    /**
     * Returns whether a filling task lacks processor, so that its rate of progress does not show
     * the speed of the worker.
     */
    private static boolean isStarved(Run run) {
        return run.spec().isFilling()
                && run.measurement < STARVED_SHARE * run.spec().resources().milliCores();
    }

    /**
     * Stops runs whose starts had no reply and that the worker does not list. Such a start may
     * still be carried out late; the stop makes the worker reject it.
     */
    private void stopMissingStarts(
            Worker worker, Map<Run.Key, WorkerReport.ActiveRun> listed, long sentAt, long now) {
        for (Run run : worker.runs.values()) {
            if (run.startUnanswered
                    && sentAt > run.startUnansweredAt
                    && !listed.containsKey(run.key())) {
                runs.stop(run, StopReason.START_UNANSWERED, now);
            }
        }
    }

    /** Ends runs whose start or stop the worker has confirmed and that it no longer lists. */
    private void endMissing(
            Worker worker, Map<Run.Key, WorkerReport.ActiveRun> listed, long sentAt, long now) {
        List<Run> missing = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (listed.containsKey(run.key())) {
                continue;
            }
            boolean wasStopped = run.stopConfirmedAt != 0 && sentAt > run.stopConfirmedAt;
            boolean hasEnded = !run.isStopping() && run.confirmed && sentAt > run.confirmedAt;
            if (wasStopped || hasEnded) {
                missing.add(run);
            }
        }
        for (Run run : missing) {
            RunOutcome outcome = run.isStopping() ? RunOutcome.STOPPED : RunOutcome.LAPSED;
            runs.end(run, outcome, EndSource.MISSING, "", now);
        }
    }
}
