/**
 * Schedules the tasks of multi-step jobs on workers, for one placement owner.
 *
 * <p>The entry point is {@link org.peridotcourse.dispatch.DispatchOwner}: pass it jobs, workers and
 * the workers' reports, and send the orders that {@code decide} returns. Nothing in this package
 * performs I/O, starts a thread or reads a clock; callers pass the current time.
 */
package org.peridotcourse.dispatch;
