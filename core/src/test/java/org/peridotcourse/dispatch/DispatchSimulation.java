package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.peridotcourse.Resources;

/**
 * Simulates owners, workers and a store in simulated time, with faults that tests inject. At each
 * start it checks that no task runs twice at a time or after it is done, that steps start in order,
 * and that workers are not overloaded.
 */
final class DispatchSimulation {
    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();

    /** Step of the simulated time, in milliseconds. */
    static final long TICK_MILLIS = 10;

    /** Difference between the wall clock and the simulated time. */
    static final long WALL_CLOCK_OFFSET_MILLIS = 1_700_000_000_000L;

    /** Time from the start of a crashing task to the crash. */
    private static final long CRASH_DELAY_MILLIS = 10;

    /** Time from the crash of a worker to the start of its successor. */
    private static final long RESTART_MILLIS = 3_200;

    static final LeaseTimes LEASE_TIMES = new LeaseTimes(5_000, 6_000);

    final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    final Map<String, StoredJob> jobs = new LinkedHashMap<>();
    final Map<String, JobRecord> stored = new HashMap<>();
    final Set<String> cancelled = new HashSet<>();
    final Random random;
    final List<Decision> decisions = new ArrayList<>();

    /** Time of each element of {@link #decisions}. */
    final List<Long> decidedAt = new ArrayList<>();

    final Map<String, Long> endedAt = new HashMap<>();

    /** Share of orders that get no reply and are carried out late. */
    double lateOrderShare;

    /** Share of orders that are carried out at once but get no reply. */
    double unansweredOrderShare;

    /** Selects the orders that are not carried out and get no reply. */
    Predicate<Order> isLost = order -> false;

    /** Selects the tasks that crash each worker that starts them. */
    Predicate<TaskRef> crashingTasks = task -> false;

    /** By task, the number of workers that it has crashed. */
    final Map<TaskRef, Integer> crashes = new HashMap<>();

    /** How long a lease call waits for the end of a run. */
    long waitMillis = 500;

    /** Ids of workers that no owner can reach. */
    final Set<String> unreachableWorkers = new HashSet<>();

    /** True while the store accepts no writes. */
    boolean storeDown;

    /** The processor of the owner's process; by default calls take no time. */
    OwnerProcessModel process = new OwnerProcessModel(0);

    /** Returns the duration of the runs of a step; by default its estimate. */
    ToLongFunction<StepSpec> runMillis = step -> step.estimateMillis();

    /** Returns the tail response times of serving tasks. */
    FakeWorker.TailRule tailRule = (task, serving, fillShares, at) -> 0;

    /** Processor time that owners used for decisions and for applying reports. */
    long ownerCpuNanos;

    long now = 1_000;
    DispatchOwner owner;

    /** Receives each start that a worker has accepted. */
    StartListener startListener = (worker, order, late) -> {};

    /** Owners whose process was killed, with the time; they neither send nor receive calls. */
    private final Map<DispatchOwner, Long> killedAt = new IdentityHashMap<>();

    /** Run after each tick if a test has enabled it. */
    Optional<WaitCheck> waitCheck = Optional.empty();

    private long epoch;
    private long sequence;
    private ClusterConfig config;
    private List<CustomerRules> customers = List.of();
    private final PriorityQueue<Event> events = new PriorityQueue<>();

    private final SimulatedWorkerCalls calls = new SimulatedWorkerCalls(this);

    /** Tasks that are stored as done. */
    private final Set<TaskRef> storedDone = new HashSet<>();

    /** Tasks that some worker has reported as done. */
    final Set<TaskRef> reportedDone = new HashSet<>();

    private boolean storeInProgress;

    /** An event that is scheduled for a later time. */
    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    /** Receives the starts of runs. */
    interface StartListener {
        /**
         * Handles a start.
         *
         * @param late true if the worker carried out the order late
         */
        void onStart(FakeWorker worker, Order.Start order, boolean late);
    }

    DispatchSimulation(long seed, int workerCount, Resources capacity) {
        this.random = new Random(seed);
        for (int i = 0; i < workerCount; i++) {
            String id = "w" + i;
            workers.put(id, new FakeWorker(id, capacity, now));
        }
        setQueues(queue("q", 1, 3));
        takeOver(now);
    }

    private void recordDecision(Decision decision) {
        decisions.add(decision);
        decidedAt.add(now);
    }

    /**
     * Adds an injected fault to the decisions, so that it appears in the trace of a failed seed.
     */
    void recordFault(String fault) {
        recordDecision(new Decision(Decision.Kind.ORDER_FAILED, "simulation", "", fault));
    }

    static QueueRules queue(String name, int priority, int maxAttempts) {
        return new QueueRules(name, "service", priority, maxAttempts, 2, 500, Optional.empty());
    }

    void setQueues(QueueRules... queues) {
        List<ClusterConfig.Route> routes = new ArrayList<>();
        for (QueueRules queue : queues) {
            routes.add(new ClusterConfig.Route("host", "/" + queue.name() + "/", queue, true));
        }
        config = ClusterConfig.of(1, routes).withCustomers(customers);
        if (owner != null) {
            owner.onConfig(config);
        }
    }

    /** Replaces the configured customers and keeps the queues. */
    void setCustomers(List<CustomerRules> rules) {
        customers = rules;
        config = config.withCustomers(rules);
        owner.onConfig(config);
    }

    /** Replaces the owner by a successor, which starts from the contents of the store. */
    void takeOver(long earlierOwnersMayOrderUntil) {
        epoch++;
        calls.onTakeover();
        storeInProgress = false;
        DispatchOwner next =
                new DispatchOwner(
                        new OwnerTerm(epoch, now, earlierOwnersMayOrderUntil, LEASE_TIMES),
                        this::recordDecision);
        next.onConfig(config);
        owner = next;
        for (FakeWorker worker : workers.values()) {
            if (successorOf(worker).isPresent()) {
                next.onRecordedWorker(worker.info(), now);
            } else {
                next.onWorkerListed(worker.info(), now);
            }
        }
        for (StoredJob storedJob : jobs.values()) {
            JobRecord record = stored.getOrDefault(storedJob.id(), JobRecord.NEW);
            next.onJob(
                    new StoredJob(
                            storedJob.id(),
                            storedJob.customer(),
                            storedJob.queueRules(),
                            storedJob.spec(),
                            storedJob.acceptedAtMillis(),
                            record),
                    true,
                    now,
                    WALL_CLOCK_OFFSET_MILLIS + now);
        }
        cancelled.forEach(job -> next.onCancel(job, now));
    }

    /** Handles a start that a worker has accepted: some tasks crash the worker a little later. */
    void onStarted(FakeWorker worker, Order.Start order, boolean late) {
        if (crashingTasks.test(order.task())) {
            schedule(CRASH_DELAY_MILLIS, () -> crash(worker, order.task()));
        }
        startListener.onStart(worker, order, late);
    }

    private void crash(FakeWorker worker, TaskRef cause) {
        if (!worker.up) {
            return;
        }
        crashes.merge(cause, 1, Integer::sum);
        if (spec(cause).isGang()) {
            workers.values().forEach(other -> other.endStep(cause, RunOutcome.BROKEN));
        }
        crash(worker, RESTART_MILLIS);
    }

    /** Crashes a worker; another one starts at its address after some time. */
    void crash(FakeWorker worker, long restartMillis) {
        worker.crash();
        schedule(restartMillis, () -> replace(worker));
    }

    /** Starts a worker with another id at the address of one that has crashed. */
    private void replace(FakeWorker crashed) {
        String id = crashed.id + "'";
        FakeWorker successor = new FakeWorker(id, crashed.address, crashed.capacity, now);
        successor.guardsCapacity = crashed.guardsCapacity;
        workers.put(id, successor);
        owner.onWorkerListed(successor.info(), now);
        owner.onWorkerUnlisted(crashed.id, now);
    }

    /** Returns the worker that has the address of one that has crashed. */
    Optional<FakeWorker> successorOf(FakeWorker crashed) {
        return workers.values().stream()
                .filter(worker -> worker != crashed && worker.address.equals(crashed.address))
                .filter(worker -> worker.up && !crashed.up)
                .findFirst();
    }

    /** Kills the process of the owner, which leaves the workers without one until a takeover. */
    void killOwner() {
        killedAt.putIfAbsent(owner, now);
    }

    /** Returns whether the process of an owner has not been killed before a time. */
    boolean isAlive(DispatchOwner process, long at) {
        return at < killedAt.getOrDefault(process, Long.MAX_VALUE);
    }

    String submit(QueueRules queue, StepSpec... steps) {
        return submit(Optional.empty(), queue, steps);
    }

    String submit(String customer, QueueRules queue, StepSpec... steps) {
        return submit(Optional.of(customer), queue, steps);
    }

    private String submit(Optional<String> customer, QueueRules queue, StepSpec... steps) {
        String id = String.format("%016x", jobs.size() + 1);
        JobSpec spec = new JobSpec("payload", List.of(steps), Schedule.ONCE);
        StoredJob storedJob =
                new StoredJob(
                        id, customer, queue, spec, WALL_CLOCK_OFFSET_MILLIS + now, JobRecord.NEW);
        jobs.put(id, storedJob);
        stored.put(id, JobRecord.NEW);
        owner.onJob(storedJob, false, now, WALL_CLOCK_OFFSET_MILLIS + now);
        return id;
    }

    void cancel(String job) {
        cancelled.add(job);
        owner.onCancel(job, now);
    }

    JobState state(String job) {
        return stored.get(job).state();
    }

    void run(long millis) {
        long end = now + millis;
        while (now < end) {
            now += TICK_MILLIS;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            workers.values().forEach(worker -> worker.tick(now, TICK_MILLIS));
            workers.values().forEach(worker -> worker.updateMeasurements(tailRule, now));
            stepOwner();
            recordReportedDone();
            waitCheck.flatMap(WaitCheck::check).ifPresent(violation -> fail(violation));
        }
    }

    /** Checks from now on that no work waits while there is free capacity. */
    WaitCheck startWaitCheck() {
        WaitCheck check = new WaitCheck(this);
        waitCheck = Optional.of(check);
        return check;
    }

    /** Passes the worker list to the owner; workers that are down are not in it. */
    void refreshWorkerList() {
        for (FakeWorker worker : workers.values()) {
            if (worker.up) {
                owner.onWorkerListed(worker.info(), now);
            } else {
                owner.onWorkerUnlisted(worker.id, now);
            }
        }
    }

    void runUntilEnded(long maxMillis, String... ids) {
        long end = now + maxMillis;
        while (now < end) {
            run(50);
            boolean allEnded = true;
            for (String id : ids) {
                allEnded &= state(id).isFinal();
            }
            if (allEnded) {
                return;
            }
        }
    }

    void schedule(long millis, Runnable action) {
        events.add(new Event(now + millis, sequence++, action));
    }

    private void stepOwner() {
        DispatchOwner sender = owner;
        if (process.isBusy(now) || !isAlive(sender, now)) {
            return;
        }
        long startNanos = CPU.getCurrentThreadCpuTime();
        List<Order> orders = sender.decide(now);
        ownerCpuNanos += CPU.getCurrentThreadCpuTime() - startNanos;
        for (Order order : orders) {
            calls.send(sender, order);
        }
        calls.sendDueLeaseCalls(sender);
        store(sender);
    }

    void applyReport(DispatchOwner receiver, FakeWorker worker, WorkerReport report, long sentAt) {
        long startNanos = CPU.getCurrentThreadCpuTime();
        receiver.onReport(worker.id, report, sentAt, now);
        ownerCpuNanos += CPU.getCurrentThreadCpuTime() - startNanos;
    }

    boolean isStoredAsDone(TaskRef task) {
        return storedDone.contains(task);
    }

    StepSpec spec(TaskRef task) {
        return jobs.get(task.job()).spec().steps().get(task.step());
    }

    /** Checks that all tasks of earlier steps were reported as done before a task starts. */
    void assertEarlierStepsDone(TaskRef task) {
        for (int before : spec(task).predecessors()) {
            int count = jobs.get(task.job()).spec().steps().get(before).taskCount();
            for (int i = 0; i < count; i++) {
                TaskRef earlier = new TaskRef(task.job(), task.occurrence(), before, i);
                assertTrue(reportedDone.contains(earlier), task + " started before " + earlier);
            }
        }
    }

    private void store(DispatchOwner sender) {
        if (storeInProgress || storeDown) {
            return;
        }
        RecordBatch batch =
                sender.takeChanges(
                        RecordBatch.MAX_JOBS, job -> false, now, WALL_CLOCK_OFFSET_MILLIS + now);
        if (batch.isEmpty()) {
            return;
        }
        storeInProgress = true;
        schedule(
                20,
                () -> {
                    if (sender != owner) {
                        return;
                    }
                    storeInProgress = false;
                    for (RecordBatch.Change change : batch.changes()) {
                        stored.put(change.job(), change.record());
                        if (change.record().state().isFinal()) {
                            endedAt.putIfAbsent(change.job(), now);
                        }
                        recordDone(change);
                    }
                    sender.onStored(batch);
                });
    }

    private void recordDone(RecordBatch.Change change) {
        for (JobRecord.TaskRecord task : change.record().tasks()) {
            if (task.done()) {
                storedDone.add(
                        new TaskRef(change.job(), task.occurrence(), task.step(), task.index()));
            }
        }
    }

    /**
     * Checks that a worker that has just started a run is not overloaded, and that no other worker
     * runs the task. Only a start can break either rule.
     */
    void assertValidStart(FakeWorker starter, TaskRef task) {
        assertTrue(
                starter.reserved().isWithin(starter.capacity), () -> "overloaded: " + starter.id);
        if (spec(task).isSpeculative()) {
            return;
        }
        for (FakeWorker other : workers.values()) {
            if (other != starter && other.runs(task)) {
                fail(task + " runs on " + starter.id + " and " + other.id + " at " + now);
            }
        }
    }

    private void recordReportedDone() {
        for (FakeWorker worker : workers.values()) {
            if (worker.hasEnds()) {
                reportedDone.addAll(worker.doneTasks());
            }
        }
    }

    void assertCompleted(String... ids) {
        for (String id : ids) {
            assertEquals(JobState.COMPLETED, state(id), id);
        }
    }

    /** Returns the sum of the resource needs of the running tasks of a customer. */
    Resources demandOfRunningTasks(String customer) {
        Resources sum = Resources.ZERO;
        for (FakeWorker worker : workers.values()) {
            for (Map.Entry<Run.Key, FakeWorker.Active> run : worker.active.entrySet()) {
                StoredJob job = jobs.get(run.getKey().task().job());
                if (job.customer().equals(Optional.of(customer))) {
                    sum = sum.plus(run.getValue().spec.resources());
                }
            }
        }
        return sum;
    }

    boolean hasRuns(String job) {
        for (FakeWorker worker : workers.values()) {
            for (Run.Key key : worker.active.keySet()) {
                if (key.task().job().equals(job)) {
                    return true;
                }
            }
        }
        return false;
    }

    int startCount() {
        int sum = 0;
        for (FakeWorker worker : workers.values()) {
            sum += worker.startLog.size();
        }
        return sum;
    }

    long count(Decision.Kind kind) {
        return decisions.stream().filter(decision -> decision.kind() == kind).count();
    }
}
