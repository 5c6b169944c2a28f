package org.peridotcourse.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkloadId;

/**
 * Measures placement at the peak rate of starts, and while a data centre is taken out and back in.
 */
class PlacementPeakTest {
    private static final Resources SIZE = Resources.of(1_000, 2_000);
    private static final int TASKS_PER_JOB = 25;
    private static final int JOBS_PER_SECOND = 30;
    private static final int BACKLOG_JOBS = 400;
    private static final int PEAK_SECONDS = 30;

    /** Guards against urgent tasks that wait behind a backlog, and against one write per start. */
    @Test
    void startsUrgentWorkInTimeAtThePeak() {
        OwnerHarness harness = new OwnerHarness(PlacementPolicy.LEAST_INTERFERENCE);
        harness.addWorkers(1_800, Resources.of(32_000, 128_000));
        for (int i = 0; i < 440; i++) {
            harness.customer("c" + i, 50 + i % 100, null);
            harness.batch("c" + i + "/plan", 10);
        }
        harness.run(5_000);
        for (int i = 0; i < BACKLOG_JOBS; i++) {
            submit(harness, i, "b" + i, false);
        }
        int writesBefore = harness.writes.size();
        long starts = harness.owner.status(harness.now).starts();
        long mostWrites = 0;
        Map<String, Long> submitted = new TreeMap<>();
        for (int second = 0; second < PEAK_SECONDS; second++) {
            int before = harness.writes.size();
            for (int i = 0; i < JOBS_PER_SECOND; i++) {
                String name = "p" + second + "-" + i;
                submitted.put(
                        submit(harness, second * 7 + i, name, i == 0), i == 0 ? harness.now : -1);
            }
            harness.run(1_000);
            // The entry hosts write the submissions, and the lease row is written every 3 s.
            mostWrites = Math.max(mostWrites, harness.writes.size() - before + JOBS_PER_SECOND + 1);
        }
        double rate = (harness.owner.status(harness.now).starts() - starts) / (double) PEAK_SECONDS;
        submitted.values().removeIf(at -> at < 0);
        Set<String> notStarted = new HashSet<>();
        submitted.keySet().forEach(job -> addTasks(notStarted, job));
        long longest = 0;
        harness.run(7_000);
        for (FakeWorker worker : harness.workers.values()) {
            for (FakeWorker.Attempt attempt : worker.running(harness.now)) {
                String task = attempt.start.task().value();
                if (notStarted.remove(task)) {
                    long at = submitted.get(task.substring(0, task.lastIndexOf('/')));
                    longest = Math.max(longest, attempt.startedMillis - at);
                }
            }
        }
        System.out.printf(
                Locale.ROOT,
                "peak: %.0f starts/s, urgent work starts within %d ms, at most %d store writes/s,"
                        + " %.1f writes/s of the owner on average%n",
                rate,
                longest,
                mostWrites,
                (harness.writes.size() - writesBefore) / (PEAK_SECONDS + 7.0));
        assertTrue(rate >= 750, "starts per second " + rate);
        assertEquals(Set.of(), notStarted, "urgent tasks that did not start");
        assertTrue(longest <= 7_000, "ms until urgent work started " + longest);
        assertTrue(mostWrites <= 200, "store writes per second " + mostWrites);
    }

    private static String submit(OwnerHarness harness, int customer, String name, boolean urgent) {
        String owner = "c" + customer % 440;
        String job = owner + "/" + name;
        // Tasks run longer than the measurement, so that the workers' records show each start.
        harness.submit(job, WorkloadId.of(owner + "/plan"), TASKS_PER_JOB, SIZE, "600000", urgent);
        return job;
    }

    private static void addTasks(Set<String> tasks, String job) {
        for (int i = 0; i < TASKS_PER_JOB; i++) {
            tasks.add(job + "/" + i);
        }
    }

    /** Guards against work that is lost or delayed while a data centre is taken out and back in. */
    @Test
    void keepsWorkingWhileADataCentreLeavesAndReturns() {
        double firstFit = leaveAndReturn(PlacementPolicy.FIRST_FIT);
        double guarded = leaveAndReturn(PlacementPolicy.LEAST_INTERFERENCE);
        System.out.printf(
                Locale.ROOT,
                "leave and return: %.3f of the ideal work, first-fit policy %.3f%n",
                guarded,
                firstFit);
        assertTrue(guarded >= 0.90, "work against ideal " + guarded);
        assertTrue(firstFit < guarded, "work of the first-fit policy " + firstFit);
    }

    /**
     * Simulates two data centres with 320 slots each. 280 tasks of 300 s are submitted; one data
     * centre is out from 100 s to 200 s, and 200 more tasks arrive at its return. In the ideal case
     * each task runs from its submission on, since there is always free capacity for it. The
     * first-fit policy restarts all tasks from the beginning on each change.
     *
     * @return the work done in 300 s, relative to the ideal
     */
    private static double leaveAndReturn(PlacementPolicy policy) {
        OwnerHarness harness = new OwnerHarness(policy);
        OwnerHarness peer = harness.addPeer(policy);
        List<FakeWorker> workers = new ArrayList<>();
        for (OwnerHarness each : List.of(harness, peer)) {
            each.addWorkers(20, Resources.of(16_000, 60_000));
            each.customer("c", 100, null);
            each.batch("c/plan", 10);
            workers.addAll(each.workers.values());
        }
        workers.forEach(worker -> worker.savesProgress = policy.isGuarded());
        List<WorkerHost> hosts = new ArrayList<>(harness.hosts);
        hosts.addAll(peer.hosts);
        harness.hosts.addAll(peer.hosts);
        peer.hosts.clear();
        peer.hosts.addAll(hosts);
        setState(harness, peer, true);
        harness.run(12_000);
        WorkloadId plan = WorkloadId.of("c/plan");
        for (int i = 0; i < 28; i++) {
            harness.submit("c/first" + i, plan, 10, SIZE, "300000");
        }
        harness.run(100_000);
        int placedAtPeer = peer.owner.status(peer.now).placed();
        assertTrue(placedAtPeer >= 100, "tasks in the leaving data centre " + placedAtPeer);
        setState(harness, peer, false);
        restart(policy, workers, harness.now);
        harness.run(100_000);
        assertEquals(
                0, peer.owner.status(peer.now).placed(), "tasks in the data centre that is out");
        setState(harness, peer, true);
        restart(policy, workers, harness.now);
        for (int i = 0; i < 20; i++) {
            harness.submit("c/second" + i, plan, 10, SIZE, "300000");
        }
        harness.run(100_000);
        return work(harness, workers) / (280 * 300_000.0 + 200 * 100_000.0);
    }

    private static void setState(OwnerHarness harness, OwnerHarness peer, boolean in) {
        for (OwnerHarness each : List.of(harness, peer)) {
            each.dataCentres.put(harness.here, true);
            each.dataCentres.put(peer.here, in);
        }
    }

    private static void restart(PlacementPolicy policy, List<FakeWorker> workers, long now) {
        if (!policy.isGuarded()) {
            workers.forEach(worker -> worker.stopAll(now));
        }
    }

    /**
     * Returns the work of finished and running tasks and of the checkpoints of all others, in ms.
     */
    private static double work(OwnerHarness harness, List<FakeWorker> workers) {
        Map<String, Long> done = new TreeMap<>();
        for (TaskRow row : harness.table.tasks("")) {
            row.checkpoint()
                    .ifPresent(each -> done.put(row.task().value(), FakeWorker.progressOf(each)));
        }
        for (FakeWorker worker : workers) {
            for (FakeWorker.Attempt attempt : worker.running(harness.now)) {
                done.put(attempt.start.task().value(), attempt.progress);
            }
        }
        double sum = 0;
        for (long each : done.values()) {
            sum += each;
        }
        for (JobRow row : harness.table.jobs()) {
            sum += row.progress().finished() * Double.parseDouble(row.spec().payload());
        }
        return sum;
    }
}
