package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.ProcessorExecutor;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Filter below the HTTP codec that limits the number of connections and the time in which a request
 * must arrive, and passes bytes on only while no request of their connection is processed. {@link
 * #sweep} must be called regularly. It is thread-safe.
 */
final class CallerConnectionFilter extends BaseFilter {
    private static final Attribute<CallerConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("peridotcourse.caller");

    /** Load balancers reuse connections and an idle one costs little, so the time-out is long. */
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    /**
     * Minimum idle time before a stop closes a connection; the first request of a new connection
     * may still be in transit.
     */
    private static final long IDLE_GRACE_MILLIS = 500;

    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final int maxConnections;
    private final long readTimeoutMillis;
    private final BodyBudget budget;
    private final LongSupplier clock;

    CallerConnectionFilter(EntryHandler.Limits limits, BodyBudget budget, LongSupplier clock) {
        this.budget = budget;
        this.maxConnections = limits.maxConnections();
        this.readTimeoutMillis = limits.readTimeoutMillis();
        this.clock = clock;
    }

    static CallerConnection of(Connection<?> connection) {
        return STATE.get(connection);
    }

    int connections() {
        return connections.size();
    }

    long bufferedBytes() {
        return budget.usedBytes();
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
        if (state.isRefused() || state.hold(context.getMessage(), budget)) {
            return context.getStopAction();
        }
        return context.getInvokeAction();
    }

    /**
     * Parses the bytes that were held back while a request was processed. It is called on the
     * selector thread of the connection.
     */
    static void parseHeld(Connection<?> connection, BodyBudget budget) throws IOException {
        CallerConnection state = of(connection);
        byte[] bytes = state.takeHeld(budget);
        if (bytes.length > 0) {
            parse(connection, bytes);
        }
        state.continueReading();
    }

    private static void parse(Connection<?> connection, byte[] bytes) {
        FilterChain chain = (FilterChain) connection.getProcessor();
        int first = chain.indexOfType(CallerConnectionFilter.class);
        FilterChainContext context =
                chain.obtainFilterChainContext(connection, first, chain.size(), first);
        context.setMessage(Buffers.wrap(null, bytes));
        context.getInternalContext().setIoEvent(IOEvent.READ);
        ProcessorExecutor.execute(context.getInternalContext());
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
     * Refuses overdue requests, and closes connections that are idle for too long or whose callers
     * do not read their responses.
     *
     * @param refusal makes the refusal of a slow caller
     * @return the number of refused requests
     */
    int sweep(Supplier<CallerResponse> refusal) {
        long now = clock.getAsLong();
        int refused = 0;
        for (CallerConnection state : connections) {
            state.closeIfNotReading(budget, now, readTimeoutMillis);
            if (state.sweep(now, readTimeoutMillis, IDLE_TIMEOUT_MILLIS, refusal)) {
                refused++;
            }
        }
        return refused;
    }

    /**
     * Closes connections that were idle for {@link #IDLE_GRACE_MILLIS}; returns how many remain.
     */
    int closeIdle() {
        long now = clock.getAsLong();
        int open = 0;
        for (CallerConnection state : connections) {
            if (state.isIdleFor(now, IDLE_GRACE_MILLIS)) {
                state.close();
            } else {
                open++;
            }
        }
        return open;
    }
}
