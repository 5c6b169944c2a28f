package org.peridotcourse.daemon.control;

/**
 * Recurring work of one thread.
 *
 * <p>Implementations are confined to the thread that calls {@link #step}.
 */
@FunctionalInterface
public interface Duty {
    /**
     * Does what is due. A step may block for as long as its calls to the platform take.
     *
     * @param nowMillis the monotonic time at the beginning of the step
     */
    void step(long nowMillis);
}
