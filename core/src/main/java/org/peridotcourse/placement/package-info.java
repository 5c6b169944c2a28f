/**
 * Placement of tasks on the workers of one data centre: ownership by lease, resource allocation,
 * task life cycle, choice of worker, eviction, interference, quarantine, evacuation and
 * rebalancing.
 *
 * <p>{@link org.peridotcourse.placement.PlacementOwner} is the entry point. All classes only make
 * decisions, without I/O or clocks: the caller passes the time and performs the returned actions.
 */
package org.peridotcourse.placement;
