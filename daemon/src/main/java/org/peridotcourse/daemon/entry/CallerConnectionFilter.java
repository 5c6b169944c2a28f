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
 * Filter below the HTTP codec that limits the number of connections and the time in which a request
 * must arrive. {@link #sweep} must be called regularly. It is thread-safe.
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
    private final Supplier<CallerResponse> malformedRefusal;

    CallerConnectionFilter(
            EntryHandler.Limits limits,
            BodyBudget budget,
            LongSupplier clock,
            Supplier<CallerResponse> malformedRefusal) {
        this.malformedRefusal = malformedRefusal;
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
        Buffer buffer = context.getMessage();
        boolean startsRequest = state.isIdle();
        state.onBytes(buffer.remaining(), clock.getAsLong());
        if (startsRequest && !mayBeginRequest(buffer)) {
            state.refuse(malformedRefusal.get(), clock.getAsLong());
        }
        return state.isRefused() ? context.getStopAction() : context.getInvokeAction();
    }

    /** Returns whether the first line may be a request line; for others, Grizzly waits for more. */
    private static boolean mayBeginRequest(Buffer buffer) {
        int spaces = 0;
        boolean hasText = false;
        for (int i = buffer.position(); i < buffer.limit(); i++) {
            byte next = buffer.get(i);
            if (next == '\n' && hasText) {
                return spaces >= 2;
            }
            spaces += next == ' ' ? 1 : 0;
            hasText |= next > ' ';
        }
        return true;
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
