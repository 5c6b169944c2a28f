package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Collects the outcomes and latencies of a load run. Latency is measured from the scheduled
 * arrival, so that delays in the sender are included (no coordinated omission). This class is
 * thread-safe.
 */
final class LoadStatistics {
    private static final long MAX_RECORDED_MICROS = 120_000_000L;

    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Map<String, Long> reasons = new TreeMap<>();
    private final Map<String, GroupStatistics> customers = new TreeMap<>();
    private final Map<String, GroupStatistics> kinds = new TreeMap<>();
    private final GroupStatistics all = new GroupStatistics();
    private final Histogram refusals = new Histogram(MAX_RECORDED_MICROS, 3);
    private long sent;
    private long crossed;

    synchronized void sent() {
        sent++;
    }

    /**
     * Records the end of a request.
     *
     * @param arrival the request
     * @param outcome the outcome from the response, or the reason why there is no response
     * @param reason the reason of a refusal, empty for none
     * @param micros the time since the scheduled arrival
     * @param good whether a complete response with status 200 arrived before the deadline
     */
    synchronized void ended(
            ArrivalGenerator.Arrival arrival,
            String outcome,
            String reason,
            long micros,
            boolean good) {
        outcomes.merge(outcome, 1L, Long::sum);
        if (!reason.isEmpty()) {
            reasons.merge(outcome + "/" + reason, 1L, Long::sum);
        }
        long boundedMicros = Math.min(Math.max(1, micros), MAX_RECORDED_MICROS);
        if (outcome.equals("answered")) {
            group(kinds, arrival.kind().header).add(boundedMicros, good);
            group(customers, arrival.customer()).add(boundedMicros, good);
            if (arrival.kind() != ArrivalGenerator.Kind.WATCH) {
                all.add(boundedMicros, good);
            }
        } else {
            refusals.recordValue(boundedMicros);
        }
    }

    /** Counts a response that belongs to another request. */
    synchronized void crossed() {
        crossed++;
    }

    /**
     * Returns the results as JSON. The overall latencies and goodput exclude watches, because their
     * responses wait for events.
     *
     * @param seconds the duration of the run
     * @return the JSON form
     */
    synchronized ObjectNode json(double seconds) {
        ObjectNode body = Json.object().put("sent", sent).put("seconds", seconds);
        long ended = outcomes.values().stream().mapToLong(Long::longValue).sum();
        body.put("unfinished", sent - ended).put("crossed", crossed);
        ObjectNode byOutcome = body.putObject("outcomes");
        outcomes.forEach(byOutcome::put);
        ObjectNode byReason = body.putObject("reasons");
        reasons.forEach(byReason::put);
        body.setAll(all.json(seconds));
        body.put("refusalP99Millis", refusals.getValueAtPercentile(99) / 1000.0);
        ObjectNode byKind = body.putObject("kinds");
        kinds.forEach((name, group) -> byKind.set(name, group.json(seconds)));
        ObjectNode byCustomer = body.putObject("customers");
        customers.forEach((name, group) -> byCustomer.set(name, group.json(seconds)));
        return body;
    }

    private static GroupStatistics group(Map<String, GroupStatistics> groups, String name) {
        return groups.computeIfAbsent(name, unused -> new GroupStatistics());
    }

    /** The latencies and the number of good responses of a group of requests. */
    private static final class GroupStatistics {
        private final Histogram latencies = new Histogram(MAX_RECORDED_MICROS, 3);
        private long goodResponses;

        void add(long micros, boolean isGood) {
            latencies.recordValue(micros);
            goodResponses += isGood ? 1 : 0;
        }

        ObjectNode json(double seconds) {
            return Json.object()
                    .put("answered", latencies.getTotalCount())
                    .put("p50Millis", latencies.getValueAtPercentile(50) / 1000.0)
                    .put("p99Millis", latencies.getValueAtPercentile(99) / 1000.0)
                    .put("p999Millis", latencies.getValueAtPercentile(99.9) / 1000.0)
                    .put("goodputPerSecond", Math.round(goodResponses / seconds * 10) / 10.0);
        }
    }
}
