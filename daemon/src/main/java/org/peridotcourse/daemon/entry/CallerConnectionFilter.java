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
final class CallerConnectionFilter extends BaseFilter {
    private static final Attribute<CallerConnection> STATE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("peridotcourse.caller");

    /** Load balancers reuse connections; an idle one costs little, so they are kept for long. */
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    /** The request of a connection that was just accepted may still be on its way. */
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
            Supplier<CallerResponse> malformed) {
        this.malformedRefusal = malformed;
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
        boolean begins = state.isIdle();
        state.onBytes(buffer.remaining(), clock.getAsLong());
        if (begins && !mayBeginRequest(buffer)) {
            state.refuse(malformedRefusal.get(), clock.getAsLong());
        }
        return state.isRefused() ? context.getStopAction() : context.getInvokeAction();
    }

    /** Tells whether the first line may be a request line; Grizzly waits for more otherwise. */
    private static boolean mayBeginRequest(Buffer buffer) {
        int blanks = 0;
        boolean text = false;
        for (int i = buffer.position(); i < buffer.limit(); i++) {
            byte next = buffer.get(i);
            if (next == '\n' && text) {
                return blanks >= 2;
            }
            blanks += next == ' ' ? 1 : 0;
            text |= next > ' ';
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
     * Refuses requests that are overdue and closes connections that were idle for long.
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

    /** Closes connections that had no request for a while. Returns the number of the others. */
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
