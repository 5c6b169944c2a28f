package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Filter below the HTTP codec that bounds the number of connections and the time in which a request
 * must arrive. {@link #sweep} must be called regularly. It is thread-safe.
 */
final class CallerGuard extends BaseFilter {
    private static final Attribute<CallerConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("peridotcourse.caller");

    /** Load balancers reuse connections; an idle one costs little, so they are kept for long. */
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final int maxConnections;
    private final long readTimeoutMillis;
    private final BodyBudget budget;
    private final LongSupplier clock;

    CallerGuard(int maxConnections, long readTimeoutMillis, BodyBudget budget, LongSupplier clock) {
        this.budget = budget;
        this.maxConnections = maxConnections;
        this.readTimeoutMillis = readTimeoutMillis;
        this.clock = clock;
    }

    static CallerConnection of(Connection<?> connection) {
        return STATE.get(connection);
    }

    int connections() {
        return connections.size();
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) throws IOException {
        Connection<?> connection = context.getConnection();
        if (connections.size() >= maxConnections) {
            connection.closeSilently();
            return context.getStopAction();
        }
        CallerConnection state = new CallerConnection(connection, clock.getAsLong());
        STATE.set(connection, state);
        connections.add(state);
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        CallerConnection state = of(context.getConnection());
        if (state == null) {
            return context.getStopAction();
        }
        Buffer buffer = context.getMessage();
        state.onBytes(buffer.remaining(), clock.getAsLong());
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) throws IOException {
        CallerConnection state = of(context.getConnection());
        if (state != null) {
            connections.remove(state);
            state.onClosed(budget);
        }
        return context.getInvokeAction();
    }

    /**
     * Refuses requests that are overdue and closes connections that were idle for long.
     *
     * @param refusal makes the refusal of a slow caller
     * @return the number of refused requests
     */
    int sweep(Supplier<CallerAnswer> refusal) {
        long now = clock.getAsLong();
        int refused = 0;
        for (CallerConnection state : connections) {
            if (state.sweep(now, readTimeoutMillis, IDLE_TIMEOUT_MILLIS, refusal)) {
                refused++;
            }
        }
        return refused;
    }

    /** Closes connections without a request. Returns the number of the others. */
    int closeIdle() {
        int busy = 0;
        for (CallerConnection state : connections) {
            if (state.isIdle()) {
                state.close();
            } else {
                busy++;
            }
        }
        return busy;
    }
}
