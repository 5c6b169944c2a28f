/**
 * Placement as it runs in the daemon: the lease, the rows, the workers, and the thread that drives
 * {@link org.peridotcourse.placement.PlacementOwner}.
 */
package org.peridotcourse.daemon.placement;
