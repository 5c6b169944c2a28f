/**
 * Decides where and when the tasks of multi-step jobs run, for one placement owner.
 *
 * <p>Start at {@link org.peridotcourse.dispatch.DispatchOwner}: feed it with jobs, workers and the
 * workers' reports, and carry out the orders that {@code decide} returns. Nothing here performs
 * I/O, starts a thread or reads a clock.
 */
package org.peridotcourse.dispatch;
