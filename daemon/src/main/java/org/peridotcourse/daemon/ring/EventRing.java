package org.peridotcourse.daemon.ring;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded queue of events from any number of threads to one consumer thread, which sleeps while
 * the queue is empty.
 *
 * <p>{@link #offer} is for new work and returns false when three quarters of the ring are occupied.
 * The last quarter is reserved for {@link #putResult}, so that new work cannot displace results of
 * accepted work. It is thread-safe; only the consumer polls and waits.
 *
 * @param <E> the type of the events
 */
public final class EventRing<E> {
    private final MpscArrayQueue<E> queue;
    private final int offerLimit;
    private volatile Thread sleepingConsumer;

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
     * @return the number, approximate while other threads add events
     */
    public int size() {
        return queue.size();
    }

    /**
     * Adds new work.
     *
     * @param event the new work
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
     * Adds the result of accepted work unless the whole ring is full.
     *
     * @param event the result
     * @return false if the ring is full
     */
    public boolean offerResult(E event) {
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
    public void putResult(E event) {
        while (!offerResult(event)) {
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(50));
        }
    }

    /**
     * Removes and returns the next event. Only the consumer calls it.
     *
     * @return the event, or null if the ring is empty
     */
    public E poll() {
        return queue.poll();
    }

    /**
     * Waits until an event arrives, {@link #wake} is called or the time has passed. Only the
     * consumer calls it.
     *
     * @param millis the longest time to wait
     */
    public void await(long millis) {
        if (millis <= 0) {
            return;
        }
        sleepingConsumer = Thread.currentThread();
        if (queue.isEmpty()) {
            LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(millis));
        }
        sleepingConsumer = null;
    }

    /** Wakes the consumer if it waits. */
    public void wake() {
        Thread thread = sleepingConsumer;
        if (thread != null) {
            LockSupport.unpark(thread);
        }
    }

    /**
     * Wakes the consumer and waits until its thread has ended.
     *
     * @param consumer the thread of the consumer, which must already have been signalled to stop
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
