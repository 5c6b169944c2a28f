package org.peridotcourse.daemon.ring;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded ring from any number of threads to one consumer thread that sleeps while it is empty.
 *
 * <p>{@link #offer} is for new work and refuses when three quarters of the ring are taken. The last
 * quarter is reserved for {@link #report}, so that results of accepted work are never lost to new
 * work. It is thread-safe; only the consumer polls and waits.
 *
 * @param <E> the type of the events
 */
public final class EventRing<E> {
    private final MpscArrayQueue<E> queue;
    private final int offerLimit;
    private volatile Thread sleeper;

    /**
     * Creates an empty ring.
     *
     * @param capacity the number of events, rounded up to a power of two
     */
    public EventRing(int capacity) {
        this.queue = new MpscArrayQueue<>(capacity);
        this.offerLimit = queue.capacity() - queue.capacity() / 4;
    }

    /**
     * Returns the number of waiting events.
     *
     * @return the number, approximate while other threads work
     */
    public int size() {
        return queue.size();
    }

    /**
     * Adds new work.
     *
     * @param event the work
     * @return false if the ring has no room for new work
     */
    public boolean offer(E event) {
        if (!queue.offerIfBelowThreshold(event, offerLimit)) {
            return false;
        }
        wake();
        return true;
    }

    /**
     * Adds the result of accepted work, if there is room at all.
     *
     * @param event the result
     * @return false if the ring is full
     */
    public boolean tryReport(E event) {
        if (!queue.offer(event)) {
            return false;
        }
        wake();
        return true;
    }

    /**
     * Adds the result of accepted work and waits while the ring is full. The consumer must not call
     * it, and must never wait for a thread that does.
     *
     * @param event the result
     */
    public void report(E event) {
        while (!tryReport(event)) {
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(50));
        }
    }

    /**
     * Takes the next event. Only the consumer calls it.
     *
     * @return the event, or null if the ring is empty
     */
    public E poll() {
        return queue.poll();
    }

    /**
     * Waits until an event arrives or the time has passed. Only the consumer calls it.
     *
     * @param millis the longest time to wait
     */
    public void await(long millis) {
        if (millis <= 0) {
            return;
        }
        sleeper = Thread.currentThread();
        if (queue.isEmpty()) {
            LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(millis));
        }
        sleeper = null;
    }

    /** Ends the wait of the consumer, if it waits. */
    public void wake() {
        Thread thread = sleeper;
        if (thread != null) {
            LockSupport.unpark(thread);
        }
    }

    /**
     * Ends the wait of the consumer and waits until its thread has ended.
     *
     * @param consumer the thread, which must have been told to end
     * @param millis the longest time to wait
     */
    public void join(Thread consumer, long millis) {
        wake();
        try {
            consumer.join(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
