package org.peridotcourse.daemon.entry;

import org.peridotcourse.daemon.metrics.DaemonMetrics;
import org.peridotcourse.routing.RequestKind;

/** Records metrics of callers' requests. It is thread-safe. */
final class EntryMetrics {
    private final DaemonMetrics metrics;

    EntryMetrics(DaemonMetrics metrics) {
        this.metrics = metrics;
    }

    void countFinished(RequestKind kind, String outcome, String reason, long now, long nanos) {
        metrics.counter(
                        "peridot_requests_total",
                        "kind",
                        kind.code(),
                        "outcome",
                        outcome,
                        "reason",
                        reason)
                .inc();
        metrics.latency("peridot_request_seconds", "kind", kind.code(), "outcome", outcome)
                .record(now, nanos / 1000);
    }

    void countForwarded() {
        metrics.counter("peridot_forwards_total").inc();
    }

    void countCrossedResponse() {
        metrics.counter("peridot_responses_crossed_total").inc();
    }

    void countIncompleteResponse() {
        metrics.counter("peridot_responses_incomplete_total").inc();
    }

    void countSlowCallers(int count) {
        metrics.counter("peridot_slow_callers_total").inc(count);
    }

    void countRingFull(String ring) {
        metrics.counter("peridot_ring_full_total", "ring", ring).inc();
    }
}
