package org.peridotcourse.daemon.control;

/**
 * A periodic task of a {@link DutyThread}.
 *
 * <p>Implementations are confined to the thread that calls {@link #step}.
 */
@FunctionalInterface
public interface Duty {
    /**
     * Performs the work that is due. A step blocks while it waits for calls to the platform.
     *
     * @param nowMillis the monotonic time at the start of the step
     */
    void step(long nowMillis);
}
