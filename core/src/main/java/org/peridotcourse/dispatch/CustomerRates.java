package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Marks the jobs that a customer submitted above its rate. The rate in jobs per second equals the
 * weight of the customer, and is applied to the acceptance times by a token bucket that holds one
 * second's worth of tokens. A new owner that reads the same jobs from the store gets the same
 * result, except that jobs that have ended are missing there, so it may mark fewer jobs. Confined
 * to one thread.
 */
final class CustomerRates {
    /** Time in which an empty bucket refills completely. */
    private static final double BUCKET_MILLIS = 1_000;

    private static final Comparator<Arrival> BY_ACCEPTANCE =
            Comparator.comparingLong(Arrival::acceptedAtMillis)
                    .thenComparing(arrival -> arrival.job().id);

    private final OwnerState state;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();

    CustomerRates(OwnerState state) {
        this.state = state;
    }

    /** A job that has not been checked yet, with the wall-clock time of its acceptance. */
    private record Arrival(Job job, long acceptedAtMillis) {}

    /** The token bucket of one customer, represented by the time at which it will be full. */
    private static final class Bucket {
        private double fullAt;
        private long latestTakeAt;

        /** Takes a token and returns true, or returns false if the bucket is empty. */
        boolean tryTake(long at, double tokenMillis) {
            if (at < latestTakeAt - BUCKET_MILLIS) {
                // The jobs were read out of order, and the state of the bucket at that time is no
                // longer known. Such a job counts as within the rate.
                return true;
            }
            latestTakeAt = Math.max(latestTakeAt, at);
            double newFullAt = Math.max(fullAt, at) + tokenMillis;
            if (newFullAt - at > BUCKET_MILLIS) {
                return false;
            }
            fullAt = newFullAt;
            return true;
        }
    }

    void onJobAccepted(Job job, long acceptedAtMillis) {
        if (job.customer.isPresent()) {
            arrivals.add(new Arrival(job, acceptedAtMillis));
        }
    }

    /** Checks the jobs that were added since the last call, in the order of acceptance. */
    void markJobsOverRate() {
        if (arrivals.isEmpty()) {
            return;
        }
        arrivals.sort(BY_ACCEPTANCE);
        for (Arrival arrival : arrivals) {
            String customer = arrival.job().customer.orElseThrow();
            Optional<CustomerRules> rules = state.config.customer(customer);
            Bucket bucket = buckets.computeIfAbsent(customer, name -> new Bucket());
            arrival.job().overRate =
                    rules.isPresent()
                            && !bucket.tryTake(
                                    arrival.acceptedAtMillis(),
                                    BUCKET_MILLIS / rules.get().weight());
        }
        arrivals.clear();
    }
}
