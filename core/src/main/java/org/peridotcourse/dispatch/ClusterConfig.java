package org.peridotcourse.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operator's configuration: queues, the routes to them, and customers.
 *
 * <p>Instances are immutable and thread-safe.
 */
public final class ClusterConfig {
    /** The empty configuration that applies until the first one is loaded. */
    public static final ClusterConfig EMPTY = of(0, List.of());

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
     * @param version the version number, which increases with each change
     * @param routes the routes to the queues
     * @return the configuration
     */
    public static ClusterConfig of(long version, List<Route> routes) {
        return new ClusterConfig(version, routes, List.of(), ApiKeys.NOT_REQUIRED);
    }

    /**
     * Returns a copy of this configuration with other customers.
     *
     * @param rules the rules of the customers
     * @return the copy
     */
    public ClusterConfig withCustomers(List<CustomerRules> rules) {
        return new ClusterConfig(version, routes, rules, keys);
    }

    /**
     * Returns a copy of this configuration with other API keys.
     *
     * @param apiKeys the API keys of the customers
     * @return the copy
     */
    public ClusterConfig withApiKeys(ApiKeys apiKeys) {
        return new ClusterConfig(version, routes, customers.values(), apiKeys);
    }

    /**
     * The host name and path prefix at which callers reach a queue.
     *
     * @param host the host name in the calls
     * @param prefix the path prefix, with a slash at the end
     * @param queue the queue
     * @param anonymous true if calls on this route need no API key
     */
    public record Route(String host, String prefix, QueueRules queue, boolean anonymous) {}

    /**
     * Returns the version number.
     *
     * @return the version, 0 before the first configuration
     */
    public long version() {
        return version;
    }

    /**
     * Returns whether a configuration has been loaded.
     *
     * @return false for {@link #EMPTY}
     */
    public boolean isLoaded() {
        return version > 0;
    }

    /**
     * Returns the routes.
     *
     * @return the routes, in the order of the operator's configuration
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns the rules of a queue.
     *
     * @param name the name of the queue
     * @return the rules, or empty if there is no such queue
     */
    public Optional<QueueRules> queue(String name) {
        return Optional.ofNullable(queues.get(name));
    }

    /**
     * Returns the rules of a customer.
     *
     * @param name the name of the customer
     * @return the rules, or empty if the configuration does not contain the customer
     */
    public Optional<CustomerRules> customer(String name) {
        return Optional.ofNullable(customers.get(name));
    }

    /**
     * Returns the valid API keys.
     *
     * @return the keys
     */
    public ApiKeys apiKeys() {
        return keys;
    }

    /**
     * Finds the route of a call: the one for its host with the longest matching path prefix.
     *
     * @param host the host in the call, possibly with a port
     * @param path the path of the call
     * @return the route, or empty if none matches
     */
    public Optional<Route> findRoute(String host, String path) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return index.find(name, path);
    }
}
