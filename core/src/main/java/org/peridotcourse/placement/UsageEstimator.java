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
    private static final double LEAST_SHARE = 0.25;

    /** Number of reports after which half of the declared size is trusted. */
    private static final double EVIDENCE_HALF = 20;

    /** Factor per report by which an old peak fades; about 1% in 10 reports. */
    private static final double FADE = 0.999;

    /** A change below this share is not charged, so that the ledger does not follow noise. */
    private static final double STEP = 0.05;

    private double peakMilliCores;
    private double peakMemoryMib;
    private long reports;
    private Estimate last = Estimate.NONE;

    /** Records the use of one task. */
    void observe(long usedMilliCores, long usedMemoryMib) {
        peakMilliCores = Math.max(peakMilliCores * FADE, usedMilliCores);
        peakMemoryMib = Math.max(peakMemoryMib * FADE, usedMemoryMib);
        reports++;
    }

    /**
     * Returns a peak with its headroom, which ends at the declared size if the peak is within it.
     */
    private static double raised(double peak, long declared) {
        double raised = peak * HEADROOM;
        return peak <= declared ? Math.min(raised, declared) : raised;
    }

    /** Returns the estimate for a task of a declared size. */
    Estimate estimate(Resources size) {
        double share = Math.max(LEAST_SHARE, EVIDENCE_HALF / (EVIDENCE_HALF + reports));
        long cores =
                (long)
                        Math.ceil(
                                Math.max(
                                        raised(peakMilliCores, size.milliCores()),
                                        size.milliCores() * share));
        long memory =
                (long)
                        Math.max(
                                size.memoryMib(),
                                Math.ceil(raised(peakMemoryMib, size.memoryMib())));
        if (Math.abs(cores - last.milliCores()) > STEP * last.milliCores()
                || memory != last.memoryMib()) {
            last = new Estimate(cores, memory);
        }
        return last;
    }
}
