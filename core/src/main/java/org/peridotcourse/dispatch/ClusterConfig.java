package org.peridotcourse.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operator's configuration: queues, where callers find them, and customers.
 *
 * <p>Instances are immutable and thread-safe.
 */
public final class ClusterConfig {
    /** No queue; in force until the first configuration is known. */
    public static final ClusterConfig NONE = of(0, List.of());

    private final long version;
    private final List<Route> routes;
    private final Map<String, QueueRules> queues = new HashMap<>();
    private final Map<String, CustomerRules> customers = new HashMap<>();

    private final RouteIndex index;
    private final ApiKeys keys;

    private ClusterConfig(
            long version, List<Route> routes, Collection<CustomerRules> customers, ApiKeys keys) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.index = new RouteIndex(routes);
        this.keys = keys;
        routes.forEach(route -> queues.put(route.queue().name(), route.queue()));
        customers.forEach(customer -> this.customers.put(customer.name(), customer));
    }

    /**
     * Returns a configuration without customers, whose calls need no key.
     *
     * @param version increases with each change
     * @param routes where callers find the queues
     * @return the configuration
     */
    public static ClusterConfig of(long version, List<Route> routes) {
        return new ClusterConfig(version, routes, List.of(), ApiKeys.NOT_REQUIRED);
    }

    /**
     * Returns this configuration with other customers.
     *
     * @param rules the customers
     * @return the changed configuration
     */
    public ClusterConfig withCustomers(List<CustomerRules> rules) {
        return new ClusterConfig(version, routes, rules, keys);
    }

    /**
     * Returns this configuration with other keys.
     *
     * @param apiKeys the keys of the customers
     * @return the changed configuration
     */
    public ClusterConfig withKeys(ApiKeys apiKeys) {
        return new ClusterConfig(version, routes, customers.values(), apiKeys);
    }

    /**
     * Where callers find a queue.
     *
     * @param host the host name that calls carry
     * @param prefix the beginning of the path, with a slash at the end
     * @param queue the queue
     * @param anonymous true if calls need no key
     */
    public record Route(String host, String prefix, QueueRules queue, boolean anonymous) {}

    /**
     * Returns the version.
     *
     * @return 0 before the first configuration
     */
    public long version() {
        return version;
    }

    /**
     * Tells whether a configuration is known.
     *
     * @return false for {@link #NONE}
     */
    public boolean isKnown() {
        return version > 0;
    }

    /**
     * Returns the routes.
     *
     * @return the routes in the operator's order
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns a queue.
     *
     * @param name its name
     * @return the queue, or empty if there is none
     */
    public Optional<QueueRules> queue(String name) {
        return Optional.ofNullable(queues.get(name));
    }

    /**
     * Returns the rules of a customer.
     *
     * @param name its name
     * @return the rules, or empty if the configuration does not name it
     */
    public Optional<CustomerRules> customer(String name) {
        return Optional.ofNullable(customers.get(name));
    }

    /**
     * Returns the API keys that are in force.
     *
     * @return the keys
     */
    public ApiKeys keys() {
        return keys;
    }

    /**
     * Finds the route of a call: same host, longest prefix.
     *
     * @param host the host that the call names, possibly with a port
     * @param path the path of the call
     * @return the route, or empty if there is none
     */
    public Optional<Route> match(String host, String path) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return index.find(name, path);
    }
}
