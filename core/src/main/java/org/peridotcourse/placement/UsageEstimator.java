package org.peridotcourse.placement;

import org.peridotcourse.Resources;

/**
 * Estimates the use of one workload's tasks from reports.
 *
 * <p>The estimate of processor time is the higher of the recent peak with 15% on top and a share of
 * the declared size that shrinks with evidence. The headroom ends at the declared size as long as
 * the peak is within it: tasks that use exactly what they declare would otherwise leave 13% of a
 * host idle. Confined to one thread.
 */
final class UsageEstimator {
    private static final double HEADROOM = 1.15;

    /** Share of the declared size that stays whatever the evidence, for tasks that vary. */
    private static final double MIN_DECLARED_SHARE = 0.25;

    /** Number of reports after which half of the declared size is trusted. */
    private static final double HALF_TRUST_REPORTS = 20;

    /** Factor per report by which an old peak fades; about 1% in 10 reports. */
    private static final double PEAK_DECAY = 0.999;

    /** A change below this share is not charged, so that the ledger does not follow noise. */
    private static final double MIN_CHANGE_SHARE = 0.05;

    private double peakMilliCores;
    private double peakMemoryMib;
    private long reports;
    private UsageEstimate lastEstimate = UsageEstimate.NONE;

    /** Records the use of one task. */
    void observe(long usedMilliCores, long usedMemoryMib) {
        peakMilliCores = Math.max(peakMilliCores * PEAK_DECAY, usedMilliCores);
        peakMemoryMib = Math.max(peakMemoryMib * PEAK_DECAY, usedMemoryMib);
        reports++;
    }

    /**
     * Returns a peak with its headroom, which ends at the declared size if the peak is within it.
     */
    private static double withHeadroom(double peak, long declared) {
        double raised = peak * HEADROOM;
        return peak <= declared ? Math.min(raised, declared) : raised;
    }

    /** Returns the estimate for a task of a declared size. */
    UsageEstimate estimate(Resources size) {
        double share =
                Math.max(MIN_DECLARED_SHARE, HALF_TRUST_REPORTS / (HALF_TRUST_REPORTS + reports));
        long cores =
                (long)
                        Math.ceil(
                                Math.max(
                                        withHeadroom(peakMilliCores, size.milliCores()),
                                        size.milliCores() * share));
        long memory =
                (long)
                        Math.max(
                                size.memoryMib(),
                                Math.ceil(withHeadroom(peakMemoryMib, size.memoryMib())));
        if (Math.abs(cores - lastEstimate.milliCores())
                        > MIN_CHANGE_SHARE * lastEstimate.milliCores()
                || memory != lastEstimate.memoryMib()) {
            lastEstimate = new UsageEstimate(cores, memory);
        }
        return lastEstimate;
    }
}
