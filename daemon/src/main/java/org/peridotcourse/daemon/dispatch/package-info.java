/**
 * Runs the job scheduler on a host: accepts and stores callers' jobs, elects one owner among the
 * hosts, and sends the owner's orders to the workers.
 *
 * <p>All state is confined to one {@link org.peridotcourse.daemon.ring.EventLoop}. The protocols
 * and formats of the platform are behind {@link org.peridotcourse.daemon.dispatch.RowStore}, {@link
 * org.peridotcourse.daemon.dispatch.WorkerPort} and {@link
 * org.peridotcourse.daemon.dispatch.PlatformFormat}.
 */
package org.peridotcourse.daemon.dispatch;
