package org.peridotcourse.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The metrics of the daemon: a Dropwizard registry for counters and gauges, and latency recorders.
 *
 * <p>Names are Prometheus names; labels follow in braces, such as {@code
 * peridot_requests_total{outcome="answered"}}. It is thread-safe.
 */
public final class DaemonMetrics {
    private static final double[] QUANTILES = {0.5, 0.99, 0.999};

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, LatencyRecorder> latencies = new ConcurrentSkipListMap<>();
    private final LongSupplier clock;

    /**
     * Creates an empty set of metrics.
     *
     * @param clock returns monotonic milliseconds
     */
    public DaemonMetrics(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Returns a counter, which is created by the first call.
     *
     * @param name the name, ending with {@code _total}
     * @param labels label names and values, alternating
     * @return the counter
     */
    public Counter counter(String name, String... labels) {
        return registry.counter(labelled(name, labels));
    }

    /**
     * Adds a gauge.
     *
     * @param name the name
     * @param value returns the current value; it must be thread-safe
     */
    public void gauge(String name, Supplier<Number> value) {
        registry.gauge(name, () -> (Gauge<Number>) value::get);
    }

    /**
     * Returns a latency recorder, which is created by the first call.
     *
     * @param name the name, ending with {@code _seconds}
     * @param labels label names and values, alternating
     * @return the recorder
     */
    public LatencyRecorder latency(String name, String... labels) {
        return latencies.computeIfAbsent(labelled(name, labels), key -> new LatencyRecorder());
    }

    /**
     * Returns all metrics.
     *
     * @return the Prometheus text format, version 0.0.4
     */
    public String toPrometheusText() {
        StringBuilder text = new StringBuilder(4096);
        String[] family = {""};
        registry.getCounters()
                .forEach(
                        (name, counter) -> {
                            family[0] = appendType(text, family[0], name, "counter");
                            appendSample(text, name, counter.getCount());
                        });
        registry.getGauges()
                .forEach(
                        (name, gauge) -> {
                            family[0] = appendType(text, family[0], name, "gauge");
                            appendSample(text, name, gauge.getValue());
                        });
        long now = clock.getAsLong();
        latencies.forEach(
                (name, latency) -> {
                    family[0] = appendType(text, family[0], name, "summary");
                    for (double quantile : QUANTILES) {
                        appendSample(
                                text,
                                withLabel(name, "quantile", Double.toString(quantile)),
                                latency.quantile(now, quantile));
                    }
                    appendSample(text, withSuffix(name, "_sum"), latency.sumSeconds());
                    appendSample(text, withSuffix(name, "_count"), latency.count());
                });
        return text.toString();
    }

    private static String appendType(
            StringBuilder text, String previous, String name, String kind) {
        String family = name.contains("{") ? name.substring(0, name.indexOf('{')) : name;
        if (!family.equals(previous)) {
            text.append("# TYPE ").append(family).append(' ').append(kind).append('\n');
        }
        return family;
    }

    private static void appendSample(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }

    private static String labelled(String name, String... labels) {
        StringBuilder text = new StringBuilder(name);
        for (int i = 0; i + 1 < labels.length; i += 2) {
            text.append(i == 0 ? '{' : ',');
            text.append(labels[i]).append("=\"").append(labels[i + 1]).append('"');
        }
        return labels.length > 1 ? text.append('}').toString() : text.toString();
    }

    private static String withLabel(String name, String label, String value) {
        String pair = label + "=\"" + value + "\"";
        return name.endsWith("}")
                ? name.substring(0, name.length() - 1) + "," + pair + "}"
                : name + "{" + pair + "}";
    }

    private static String withSuffix(String name, String suffix) {
        int brace = name.indexOf('{');
        return brace < 0
                ? name + suffix
                : name.substring(0, brace) + suffix + name.substring(brace);
    }
}
