/**
 * Values shared by every part of the scheduler: names of workers, data centres, customers and
 * backend servers, and amounts of resources.
 *
 * <p>The library decides and never acts: a program feeds a state object with what happened and the
 * present time, and carries out the actions that come back. It starts no thread, opens no
 * connection and reads no clock. A program routes a request without the daemon like this:
 *
 * <pre>{@code
 * RequestRouter router =
 *         new RequestRouter(xela, "altiplano", RoutingSettings.defaults(), new Random(1));
 * router.updateCustomers(0, List.of(new CustomerInfo(taller, 100, 10, 1000, Set.of())));
 * router.updateBackends(0, List.of(server));
 * RequestInfo request =
 *         new RequestInfo("r1", taller, despacho, IDEMPOTENT, Optional.empty(), 2_000);
 * List<RoutingAction> actions = router.offer(1, request);
 * // Connect: open a connection, then report onConnected(now, connection).
 * // Forward: send the request, then report onReply or onAttemptFailed.
 * // Finish: give the caller its outcome.
 * }</pre>
 *
 * <p>Placement works in the same way by {@link org.peridotcourse.placement.PlacementOwner}. The
 * whole program is compiled and run as {@code LibraryExampleTest}.
 */
package org.peridotcourse;
