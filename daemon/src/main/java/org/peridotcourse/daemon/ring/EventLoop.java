package org.peridotcourse.daemon.ring;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One thread that runs tasks in the order of their arrival, and timers when they are due.
 *
 * <p>State that is used only on the thread of the loop needs no locks. Tasks must not block. {@link
 * #post} and {@link #offer} are thread-safe; everything else is called on the thread of the loop or
 * before its start.
 */
public final class EventLoop implements AutoCloseable {
    /**
     * Largest number of tasks that run before the timers are checked again. Tasks run before
     * timers, so a response that has already arrived is handled before the time-out of its call,
     * also when the loop is behind.
     */
    private static final int TASKS_PER_ROUND = 512;

    private static final long MAX_WAIT_MILLIS = 1_000;
    private static final long JOIN_TIMEOUT_MILLIS = 1_000;

    private final EventRing<Runnable> ring;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final List<Runnable> roundListeners = new ArrayList<>();
    private final Thread thread;
    private final Consumer<Throwable> exceptionHandler;
    private volatile boolean stopped;
    private long sequence;
    private long lagMillis;

    /**
     * Creates a loop that is not started.
     *
     * @param name the name of its thread
     * @param capacity the number of tasks that may wait
     * @param exceptionHandler receives exceptions of tasks; the loop continues after them
     */
    public EventLoop(String name, int capacity, Consumer<Throwable> exceptionHandler) {
        this.ring = new EventRing<>(capacity);
        this.exceptionHandler = exceptionHandler;
        this.thread = new Thread(this::run, name);
    }

    /** A timer that has not run. Confined to the thread of the loop. */
    public static final class Timer implements Comparable<Timer> {
        private final long dueAtMillis;
        private final long order;
        private Runnable task;

        private Timer(long dueAtMillis, long order, Runnable task) {
            this.dueAtMillis = dueAtMillis;
            this.order = order;
            this.task = task;
        }

        /** Prevents the timer from running. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return dueAtMillis == other.dueAtMillis
                    ? Long.compare(order, other.order)
                    : Long.compare(dueAtMillis, other.dueAtMillis);
        }
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Returns the monotonic clock in milliseconds.
     *
     * @return the current time
     */
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Returns the delay with which the last timer ran, a measure of the load of the process.
     *
     * @return milliseconds
     */
    public long lagMillis() {
        return lagMillis;
    }

    /**
     * Adds a task that carries the result of accepted work, and waits while the ring is full. On
     * the thread of the loop, the task runs at once.
     *
     * @param task the task
     */
    public void post(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            ring.putResult(task);
        }
    }

    /**
     * Adds a task that carries new work.
     *
     * @param task the task
     * @return false if the ring has no room for new work
     */
    public boolean offer(Runnable task) {
        return ring.offer(task);
    }

    /**
     * Adds a timer.
     *
     * @param millis the delay from now
     * @param task the task to run
     * @return the timer
     */
    public Timer schedule(long millis, Runnable task) {
        Timer timer = new Timer(nowMillis() + millis, sequence++, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Runs a task periodically, first after one period.
     *
     * @param millis the period
     * @param task the task
     */
    public void scheduleRepeating(long millis, Runnable task) {
        schedule(
                millis,
                () -> {
                    scheduleRepeating(millis, task);
                    task.run();
                });
    }

    /**
     * Adds a listener that runs after each round in which a task or timer ran.
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
            ring.join(thread, JOIN_TIMEOUT_MILLIS);
        }
    }

    private void run() {
        while (!stopped) {
            boolean anyRan = runTasks();
            anyRan |= runTimers();
            if (anyRan) {
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
        boolean anyRan = false;
        long now = nowMillis();
        while (!timers.isEmpty() && timers.peek().dueAtMillis <= now) {
            Timer timer = timers.poll();
            if (timer.task != null) {
                lagMillis = now - timer.dueAtMillis;
                runSafely(timer.task);
                anyRan = true;
            }
        }
        return anyRan;
    }

    private long waitMillis() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        if (timers.isEmpty()) {
            return MAX_WAIT_MILLIS;
        }
        return Math.min(MAX_WAIT_MILLIS, timers.peek().dueAtMillis - nowMillis());
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError error) {
            // One faulty message must not end the loop; other errors end the process.
            exceptionHandler.accept(error);
        }
    }
}
