package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.JobId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;

/**
 * Simulates two data centres with two daemons and three workers each, and faults.
 *
 * <p>One seed determines all delays, so a sequence of faults is reproducible.
 */
final class FaultSimulation {
    static final long TICK_MILLIS = 250;

    /**
     * Time after the sequence by which every job must have ended; all faults end by themselves or
     * with the sequence.
     */
    private static final long SETTLE_MILLIS = 900_000;

    private static final long RESTART_MILLIS = 5_000;
    private static final CustomerId CUSTOMER = CustomerId.of("c");
    private static final WorkloadId BATCH = WorkloadId.of("c/batch");
    private static final WorkloadId SERVICE = WorkloadId.of("c/desk");

    final Random random;
    final InvariantChecker checker = new InvariantChecker(this);
    final FakeTable table;
    final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
    final List<DataCentreId> dataCentres = List.of(DataCentreId.of("a"), DataCentreId.of("b"));
    final List<FakeDaemon> daemons = new ArrayList<>();
    PlacementConfig config;
    long now;
    private final Set<SafetyMechanism> disabled;
    private final PriorityQueue<Timed> queue = new PriorityQueue<>();
    private final Map<DataCentreId, Long> outSinceMillis = new HashMap<>();
    private final Map<DataCentreId, Long> dataCentreCutOffUntil = new HashMap<>();

    /** Time until which the configuration readers of a data centre receive nothing. */
    private final Map<DataCentreId, Long> configSilentUntil = new HashMap<>();

    private final List<WorkerHost> hosts = new ArrayList<>();
    private long storeDownUntil;
    private int answersToLose;
    private int writesToDelay;
    private long sequence;
    private int daemonCount;

    private record Timed(long at, long order, Runnable step) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /**
     * Hold of the lease rows, 20 s or 120 s by seed. The longer one exceeds the batch leases (30 s)
     * that a second owner grants.
     */
    final long holdMillis;

    FaultSimulation(long seed, Set<SafetyMechanism> disabled) {
        this.random = new Random(seed);
        this.disabled = disabled;
        this.holdMillis = seed % 2 == 0 ? 20_000 : 120_000;
        this.table = new FakeTable(disabled, checker);
        configure();
        for (DataCentreId dataCentre : dataCentres) {
            for (int i = 0; i < 3; i++) {
                WorkerHost host =
                        new WorkerHost(
                                WorkerId.of(dataCentre.value() + "-w" + i),
                                dataCentre,
                                "r1",
                                Resources.of(4000, 8000),
                                false);
                hosts.add(host);
                // The clock rates differ by up to 3%, the most that a margin of 1 s covers in a
                // lease of 30 s.
                double rate = 0.97 + 0.06 * random.nextDouble();
                workers.put(host.id(), new FakeWorker(host, disabled, checker, rate));
            }
            daemons.add(daemon(dataCentre));
            daemons.add(daemon(dataCentre));
        }
    }

    private FakeDaemon daemon(DataCentreId dataCentre) {
        return new FakeDaemon(
                this, dataCentre, dataCentre.value() + "-d" + daemonCount++, disabled);
    }

    private void configure() {
        Map<DataCentreId, Boolean> states = new HashMap<>();
        dataCentres.forEach(each -> states.put(each, !outSinceMillis.containsKey(each)));
        long version = config == null ? 1 : config.version() + 1;
        config =
                new PlacementConfig(
                        version,
                        states,
                        Map.of(CUSTOMER, new PlacementConfig.CustomerRule(100, Optional.empty())),
                        Map.of(
                                BATCH,
                                new PlacementConfig.WorkloadRule(
                                        false, Set.of(), 0, Resources.ZERO, false, 10),
                                SERVICE,
                                new PlacementConfig.WorkloadRule(
                                        true, Set.of(), 1, Resources.of(500, 500), false, 0)));
    }

    long outSince(DataCentreId dataCentre) {
        return outSinceMillis.getOrDefault(dataCentre, -1L);
    }

    List<WorkerHost> hosts(boolean doubled) {
        if (!doubled) {
            return hosts;
        }
        List<WorkerHost> larger = new ArrayList<>();
        for (WorkerHost host : hosts) {
            larger.add(
                    new WorkerHost(
                            host.id(),
                            host.dataCentre(),
                            host.rack(),
                            host.capacity().plus(host.capacity()),
                            false));
        }
        return larger;
    }

    void after(long delay, Runnable step) {
        queue.add(new Timed(now + delay, sequence++, step));
    }

    long delay() {
        return random.nextInt(50) == 0 ? 200 + random.nextInt(1_500) : 1 + random.nextInt(20);
    }

    boolean losesAnswer() {
        if (answersToLose > 0) {
            answersToLose--;
            return true;
        }
        return false;
    }

    private boolean reachesStore(FakeDaemon from) {
        return now >= storeDownUntil
                && now >= from.storeCutOffUntil
                && now >= dataCentreCutOffUntil.getOrDefault(from.dataCentre, 0L);
    }

    boolean readsConfig(DataCentreId dataCentre) {
        return now >= configSilentUntil.getOrDefault(dataCentre, 0L);
    }

    void toStore(FakeDaemon from, Consumer<FakeTable> request) {
        long delay = delay();
        if (writesToDelay > 0) {
            writesToDelay--;
            delay = 1_000 + random.nextInt(3_000);
        }
        after(
                delay,
                () -> {
                    if (reachesStore(from)) {
                        request.accept(table);
                    }
                });
    }

    void toWorker(FakeDaemon from, WorkerId id, Consumer<FakeWorker> request) {
        FakeWorker worker = workers.get(id);
        int incarnation = worker.incarnation;
        if (now < worker.cutOffUntil || now < from.unreachableUntil.getOrDefault(id, 0L)) {
            return;
        }
        after(
                delay(),
                () -> {
                    if (worker.alive && worker.incarnation == incarnation) {
                        request.accept(worker);
                    }
                });
    }

    void fromWorker(FakeDaemon to, FakeWorker worker, Runnable answer) {
        if (now >= Math.max(worker.cutOffUntil, worker.answersLostUntil)
                && now >= to.unreachableUntil.getOrDefault(worker.id, 0L)
                && worker.alive) {
            after(delay(), answer);
        }
    }

    /** Runs a sequence and ends its faults; throws the first violation of an invariant. */
    void run(List<Fault> faults) {
        for (Fault fault : faults) {
            advance(fault.atMillis());
            apply(fault);
            advance(now);
        }
        advance(Fault.SEQUENCE_MILLIS);
        endFaults();
        long end = now + SETTLE_MILLIS;
        while (now < end && !allEnded()) {
            advance(now + 1_000);
        }
        if (!allEnded()) {
            throw new InvariantChecker.Violation("no job lost: " + unfinished());
        }
    }

    void advance(long until) {
        while (now < until) {
            long next = (now / TICK_MILLIS + 1) * TICK_MILLIS;
            long to = Math.min(next, until);
            drain(to);
            now = to;
            if (now == next) {
                List.copyOf(daemons).forEach(FakeDaemon::step);
            }
            checker.checkRunning();
        }
        drain(until);
    }

    private void drain(long to) {
        while (!queue.isEmpty() && queue.peek().at <= to) {
            Timed timed = queue.poll();
            now = Math.max(now, timed.at);
            timed.step.run();
        }
    }

    private boolean allEnded() {
        for (JobRow row : table.jobs()) {
            if (!row.progress().state().isFinal()) {
                return false;
            }
        }
        return true;
    }

    private String unfinished() {
        StringBuilder text = new StringBuilder();
        for (JobRow row : table.jobs()) {
            if (!row.progress().state().isFinal()) {
                text.append(row).append('\n');
            }
        }
        table.tasks("").forEach(row -> text.append(row).append('\n'));
        return text.toString();
    }

    private void apply(Fault fault) {
        DataCentreId dataCentre = dataCentres.get(fault.target() % dataCentres.size());
        FakeWorker worker = List.copyOf(workers.values()).get(fault.target() % workers.size());
        Optional<FakeDaemon> owner = owner(dataCentre);
        switch (fault.kind()) {
            case SUBMIT -> submit(fault);
            case CANCEL -> cancel(fault);
            case OWNER_PAUSED ->
                    owner.ifPresent(
                            found -> found.pausedUntil = now + 2_000 + fault.amount() * 300L);
            case OWNER_KILLED -> owner.ifPresent(this::killDaemon);
            case WORKER_KILLED -> killWorker(worker);
            case WORKER_CUT_OFF -> {
                long until = now + 1_000 + fault.amount() * 700L;
                if (fault.amount() % 3 == 0) {
                    worker.cutOffUntil = until;
                } else if (fault.amount() % 3 == 1) {
                    worker.answersLostUntil = until;
                } else {
                    owner(worker.dataCentre)
                            .ifPresent(found -> found.unreachableUntil.put(worker.id, until));
                }
            }
            case OWNER_CUT_OFF ->
                    owner.ifPresent(
                            found -> found.storeCutOffUntil = now + 1_000 + fault.amount() * 700L);
            case DATA_CENTRE_CUT_OFF ->
                    dataCentreCutOffUntil.put(dataCentre, now + 1_000 + fault.amount() * 500L);
            case STORE_DOWN -> storeDownUntil = now + 500 + fault.amount() * 250L;
            case ANSWER_LOST -> {
                if (fault.target() % 2 == 0) {
                    answersToLose = 1 + fault.amount() % 5;
                } else {
                    writesToDelay = 1 + fault.amount() % 5;
                }
            }
            case REPORT_LATE -> worker.reportsLateUntil = now + fault.amount() * 200L;
            case DATA_CENTRE_OUT -> {
                if (outSinceMillis.putIfAbsent(dataCentre, now) == null) {
                    configSilentUntil.put(dataCentre, now + fault.amount() * 200L);
                }
                configure();
            }
            case DATA_CENTRE_IN -> {
                outSinceMillis.remove(dataCentre);
                configure();
            }
            case TICK -> advance(now + TICK_MILLIS);
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private Optional<FakeDaemon> owner(DataCentreId dataCentre) {
        Optional<FakeDaemon> any = Optional.empty();
        for (FakeDaemon daemon : daemons) {
            if (daemon.dataCentre.equals(dataCentre)) {
                any = Optional.of(daemon);
                if (daemon.isHolder()) {
                    return any;
                }
            }
        }
        return any;
    }

    private void killDaemon(FakeDaemon daemon) {
        daemon.alive = false;
        daemons.remove(daemon);
        after(RESTART_MILLIS, () -> daemons.add(daemon(daemon.dataCentre)));
    }

    private void killWorker(FakeWorker worker) {
        if (worker.alive) {
            worker.kill();
            after(RESTART_MILLIS, () -> worker.restart(now, -10_000_000L * worker.incarnation));
        }
    }

    private void submit(Fault fault) {
        String job = "c/j" + sequence++;
        // Long tasks run longer than a lease, so that its expiry has an effect.
        long duration = 2_000 + fault.amount() * (fault.amount() % 2 == 0 ? 900L : 150L);
        table.putJob(
                JobRow.submitted(
                        new JobRow.Spec(
                                JobId.of(job),
                                BATCH,
                                1 + fault.target() % 4,
                                Resources.of(1000 + 500 * (fault.amount() % 4), 1000),
                                fault.amount() % 5 == 0,
                                Long.toString(duration))));
    }

    private void cancel(Fault fault) {
        List<JobRow> jobs = table.jobs();
        if (!jobs.isEmpty()) {
            JobRow job = jobs.get(fault.target() % jobs.size());
            table.putJob(new JobRow(job.spec(), true, job.progress(), 0));
        }
    }

    /** Takes all data centres in; the remaining faults end by themselves. */
    private void endFaults() {
        outSinceMillis.clear();
        configure();
        answersToLose = 0;
        writesToDelay = 0;
    }
}
