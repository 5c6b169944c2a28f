/**
 * Values that all parts of the scheduler share: identifiers of workers, data centres, customers and
 * backend servers, amounts of resources, and results.
 *
 * <p>The library contains only decision logic: a program passes events and the current time to a
 * state object, and carries out the actions that are returned. The library starts no threads, opens
 * no connections and reads no clock. A program routes a request without the daemon like this:
 *
 * <pre>{@code
 * RequestRouter router =
 *         new RequestRouter(xela, "altiplano", RoutingSettings.defaults(), new Random(1));
 * router.updateCustomers(0, List.of(new CustomerInfo(taller, 100, 10, 1000, Set.of())));
 * router.updateBackends(0, List.of(backend));
 * RequestInfo request =
 *         new RequestInfo("r1", taller, despacho, IDEMPOTENT, Optional.empty(), 2_000);
 * List<RoutingAction> actions = router.onRequest(1, request);
 * // Connect: open a connection, then report onConnected(now, connection).
 * // Forward: send the request, then report onResponse or onAttemptFailed.
 * // Finish: send the outcome to the caller.
 * }</pre>
 *
 * <p>{@link org.peridotcourse.placement.PlacementOwner} offers placement in the same way. The
 * complete program is compiled and run by {@code LibraryExampleTest}.
 */
package org.peridotcourse;
