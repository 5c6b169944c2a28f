/**
 * Placement of tasks on the workers of one data centre: ownership, ledger, tasks, leases, choice of
 * worker, eviction, interference, quarantine, drain and return.
 *
 * <p>{@link org.peridotcourse.placement.PlacementOwner} is the entry point. All classes are pure
 * decision code: the caller passes the time and performs the returned actions.
 */
package org.peridotcourse.placement;
