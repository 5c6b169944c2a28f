package org.peridotcourse.daemon.dispatch;

import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.peridotcourse.base.Codes;
import org.peridotcourse.daemon.metrics.DaemonMetrics;
import org.peridotcourse.dispatch.Decision;
import org.peridotcourse.dispatch.Order;
import org.peridotcourse.dispatch.OrderReply;

/** Counters and histograms of the job scheduler. It is thread-safe. */
public final class DispatchMetrics {
    private static final long MICROS_PER_MILLI = 1_000;

    private final DaemonMetrics metrics;
    private final LongSupplier clock;

    /**
     * Creates the metrics.
     *
     * @param clock monotonic milliseconds
     */
    public DispatchMetrics(LongSupplier clock) {
        this.metrics = new DaemonMetrics(clock);
        this.clock = clock;
    }

    /**
     * Adds a gauge.
     *
     * @param name its name
     * @param value returns the current value; it must be thread-safe
     */
    void gauge(String name, Supplier<Number> value) {
        metrics.gauge(name, value);
    }

    void recordCall(String kind, String answer, long millis) {
        metrics.counter("peridot_calls_total", "call", kind, "answer", answer).inc();
        metrics.latency("peridot_call_seconds", "call", kind)
                .record(clock.getAsLong(), millis * MICROS_PER_MILLI);
    }

    void recordOrder(Order order, OrderReply reply) {
        String kind = order.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        metrics.counter("peridot_orders_total", "order", kind, "reply", Codes.of(reply.name()))
                .inc();
    }

    void recordLeaseReply(OrderReply reply, long millis) {
        metrics.counter("peridot_lease_calls_total", "reply", Codes.of(reply.name())).inc();
        metrics.latency("peridot_lease_call_seconds")
                .record(clock.getAsLong(), millis * MICROS_PER_MILLI);
    }

    void recordDecision(Decision decision) {
        metrics.counter("peridot_decisions_total", "kind", Codes.of(decision.kind().name())).inc();
    }

    void recordProgressWrite(long millis) {
        metrics.latency("peridot_progress_write_seconds")
                .record(clock.getAsLong(), millis * MICROS_PER_MILLI);
    }

    /**
     * Records a call to the store.
     *
     * @param call read, write or changes
     * @param outcome how it ended
     * @param millis its duration
     */
    public void recordStoreCall(String call, String outcome, long millis) {
        metrics.counter("peridot_store_calls_total", "call", call, "outcome", outcome).inc();
        metrics.latency("peridot_store_call_seconds", "call", call)
                .record(clock.getAsLong(), millis * MICROS_PER_MILLI);
    }

    void recordOwnershipChange(boolean taken) {
        metrics.counter("peridot_ownership_changes_total", "change", taken ? "taken" : "lost")
                .inc();
    }

    String toText() {
        return metrics.toPrometheusText();
    }
}
