package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the jobs that customers sent beyond as many a second as their weight, by a token bucket of
 * one second over the times of acceptance. A successor that reads the same jobs comes to the same
 * result; jobs that ended before are missing there, so that it may find fewer to be beyond.
 * Confined to one thread.
 */
final class CustomerRates {
    /** Time in which an empty bucket fills. */
    private static final double BUCKET_MILLIS = 1_000;

    private static final Comparator<Arrival> BY_TIME =
            Comparator.comparingLong(Arrival::at).thenComparing(arrival -> arrival.job().id);

    private final OwnerState state;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();

    CustomerRates(OwnerState state) {
        this.state = state;
    }

    /** A job that is not judged yet, with the wall-clock time of its acceptance. */
    private record Arrival(Job job, long at) {}

    /** The bucket of one customer, kept as the time at which it will be full. */
    private static final class Bucket {
        private double fullAt;
        private long latest;

        /** Takes a token unless the bucket is empty. */
        boolean take(long at, double tokenMillis) {
            if (at < latest - BUCKET_MILLIS) {
                // Read too late to tell, so that the customer gets the benefit of the doubt.
                return true;
            }
            latest = Math.max(latest, at);
            double filled = Math.max(fullAt, at) + tokenMillis;
            if (filled - at > BUCKET_MILLIS) {
                return false;
            }
            fullAt = filled;
            return true;
        }
    }

    void onJob(Job job, long acceptedAtMillis) {
        if (job.customer.isPresent()) {
            arrivals.add(new Arrival(job, acceptedAtMillis));
        }
    }

    /** Judges the jobs that came since the last call, in the order of their acceptance. */
    void judge() {
        if (arrivals.isEmpty()) {
            return;
        }
        arrivals.sort(BY_TIME);
        for (Arrival arrival : arrivals) {
            String customer = arrival.job().customer.orElseThrow();
            Optional<CustomerRules> rules = state.config.customer(customer);
            Bucket bucket = buckets.computeIfAbsent(customer, name -> new Bucket());
            arrival.job().beyondRate =
                    rules.isPresent()
                            && !bucket.take(arrival.at(), BUCKET_MILLIS / rules.get().weight());
        }
        arrivals.clear();
    }
}
