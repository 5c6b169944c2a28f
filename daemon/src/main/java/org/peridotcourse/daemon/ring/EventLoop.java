package org.peridotcourse.daemon.ring;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One thread that runs tasks in the order of their arrival, and timers when they are due.
 *
 * <p>State that belongs to the loop needs no locks. Tasks must not block. {@link #post} and {@link
 * #offer} are thread-safe; everything else is called on the thread of the loop or before its start.
 */
public final class EventLoop implements AutoCloseable {
    /**
     * Tasks that run before timers are looked at again. An answer that has arrived counts before
     * the timer of its call, also when the loop is late.
     */
    private static final int TASKS_PER_ROUND = 512;

    private static final long LONGEST_WAIT_MILLIS = 1_000;
    private static final long JOIN_MILLIS = 1_000;

    private final EventRing<Runnable> ring;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final List<Runnable> roundListeners = new ArrayList<>();
    private final Thread thread;
    private final Consumer<Throwable> faults;
    private volatile boolean stopped;
    private long sequence;
    private long lagMillis;

    /**
     * Creates a loop that is not started.
     *
     * @param name the name of its thread
     * @param capacity the number of tasks that may wait
     * @param faults takes exceptions of tasks, which the loop survives
     */
    public EventLoop(String name, int capacity, Consumer<Throwable> faults) {
        this.ring = new EventRing<>(capacity);
        this.faults = faults;
        this.thread = new Thread(this::run, name);
    }

    /** A timer that has not run. Confined to the thread of the loop. */
    public static final class Timer implements Comparable<Timer> {
        private final long dueAt;
        private final long order;
        private Runnable task;

        private Timer(long dueAt, long order, Runnable task) {
            this.dueAt = dueAt;
            this.order = order;
            this.task = task;
        }

        /** Takes care that the timer does not run. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return dueAt == other.dueAt
                    ? Long.compare(order, other.order)
                    : Long.compare(dueAt, other.dueAt);
        }
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Returns the monotonic clock in milliseconds.
     *
     * @return the present time
     */
    public long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Returns by how much the last timer ran late, which tells how busy the process is.
     *
     * @return milliseconds
     */
    public long lagMillis() {
        return lagMillis;
    }

    /**
     * Adds the result of accepted work, and waits while the ring is full. Not for the loop itself.
     *
     * @param task the task
     */
    public void post(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            ring.report(task);
        }
    }

    /**
     * Adds new work.
     *
     * @param task the task
     * @return false if the ring has no room
     */
    public boolean offer(Runnable task) {
        return ring.offer(task);
    }

    /**
     * Adds a timer.
     *
     * @param millis the time from now
     * @param task what runs then
     * @return the timer
     */
    public Timer after(long millis, Runnable task) {
        Timer timer = new Timer(now() + millis, sequence++, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Runs a task regularly, first after one period.
     *
     * @param millis the period
     * @param task the task
     */
    public void every(long millis, Runnable task) {
        after(
                millis,
                () -> {
                    every(millis, task);
                    task.run();
                });
    }

    /**
     * Adds what runs after each round of tasks and timers.
     *
     * @param listener the task
     */
    public void onRound(Runnable listener) {
        roundListeners.add(listener);
    }

    @Override
    public void close() {
        stopped = true;
        ring.wake();
        if (Thread.currentThread() != thread) {
            ring.join(thread, JOIN_MILLIS);
        }
    }

    private void run() {
        while (!stopped) {
            boolean worked = runTasks();
            worked |= runTimers();
            if (worked) {
                roundListeners.forEach(this::runSafely);
            }
            if (!stopped) {
                ring.await(waitMillis());
            }
        }
    }

    private boolean runTasks() {
        for (int i = 0; i < TASKS_PER_ROUND; i++) {
            Runnable task = ring.poll();
            if (task == null) {
                return i > 0;
            }
            runSafely(task);
        }
        return true;
    }

    private boolean runTimers() {
        boolean worked = false;
        long now = now();
        while (!timers.isEmpty() && timers.peek().dueAt <= now) {
            Timer timer = timers.poll();
            if (timer.task != null) {
                lagMillis = now - timer.dueAt;
                runSafely(timer.task);
                worked = true;
            }
        }
        return worked;
    }

    private long waitMillis() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        if (timers.isEmpty()) {
            return LONGEST_WAIT_MILLIS;
        }
        return Math.min(LONGEST_WAIT_MILLIS, timers.peek().dueAt - now());
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError fault) {
            // One wrong message must not end the loop; other errors end the process.
            faults.accept(fault);
        }
    }
}
