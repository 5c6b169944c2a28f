package org.peridotcourse.placement;

import org.peridotcourse.Resources;

/**
 * Estimates the resource usage of one workload's tasks from reports.
 *
 * <p>The estimate of processor time is the higher of two values: the recent peak plus 15% headroom,
 * and a share of the declared size that shrinks with the number of reports. While the peak is
 * within the declared size, the headroom is limited to it: tasks that use exactly what they declare
 * would otherwise leave 13% of a host idle. Confined to one thread.
 */
final class UsageEstimator {
    private static final double HEADROOM = 1.15;

    /**
     * Minimum share of the declared size, after any number of reports, for tasks whose usage
     * varies.
     */
    private static final double MIN_DECLARED_SHARE = 0.25;

    /** Number of reports after which the share of the declared size has fallen to one half. */
    private static final double HALF_SHARE_REPORTS = 20;

    /** Factor per report by which an old peak decays; about 1% in 10 reports. */
    private static final double PEAK_DECAY = 0.999;

    /** Relative change up to which the estimate stays, so that small variations change nothing. */
    private static final double MIN_CHANGE_SHARE = 0.05;

    private double peakMilliCores;
    private double peakMemoryMib;
    private long reports;
    private UsageEstimate lastEstimate = UsageEstimate.NONE;

    /** Records the usage of one task. */
    void observe(long usedMilliCores, long usedMemoryMib) {
        peakMilliCores = Math.max(peakMilliCores * PEAK_DECAY, usedMilliCores);
        peakMemoryMib = Math.max(peakMemoryMib * PEAK_DECAY, usedMemoryMib);
        reports++;
    }

    /** Returns a peak plus headroom, limited to the declared size if the peak is within it. */
    private static double withHeadroom(double peak, long declared) {
        double increased = peak * HEADROOM;
        return peak <= declared ? Math.min(increased, declared) : increased;
    }

    /** Returns the estimate for a task of a declared size. */
    UsageEstimate estimate(Resources size) {
        double share =
                Math.max(MIN_DECLARED_SHARE, HALF_SHARE_REPORTS / (HALF_SHARE_REPORTS + reports));
        long milliCores =
                (long)
                        Math.ceil(
                                Math.max(
                                        withHeadroom(peakMilliCores, size.milliCores()),
                                        size.milliCores() * share));
        long memoryMib =
                (long)
                        Math.max(
                                size.memoryMib(),
                                Math.ceil(withHeadroom(peakMemoryMib, size.memoryMib())));
        if (Math.abs(milliCores - lastEstimate.milliCores())
                        > MIN_CHANGE_SHARE * lastEstimate.milliCores()
                || memoryMib != lastEstimate.memoryMib()) {
            lastEstimate = new UsageEstimate(milliCores, memoryMib);
        }
        return lastEstimate;
    }
}
