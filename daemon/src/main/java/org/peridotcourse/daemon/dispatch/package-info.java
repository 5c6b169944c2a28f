/**
 * Runs the job scheduler on a host: takes callers' jobs, stores them, elects one owner among the
 * hosts, and carries out the owner's decisions on the workers.
 *
 * <p>All state belongs to one {@link org.peridotcourse.daemon.ring.EventLoop}. What the platform
 * speaks is behind {@link org.peridotcourse.daemon.dispatch.RowStore}, {@link
 * org.peridotcourse.daemon.dispatch.WorkerPort} and {@link
 * org.peridotcourse.daemon.dispatch.PlatformFormat}.
 */
package org.peridotcourse.daemon.dispatch;
