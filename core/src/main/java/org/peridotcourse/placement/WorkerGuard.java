package org.peridotcourse.placement;

import org.peridotcourse.WorkloadId;

/**
 * Steps of the reaction to interference on one worker: stop growth, throttle, evict.
 *
 * <p>A step up needs two high reports in a row, a step down three low ones; between the thresholds
 * nothing changes. Confined to one thread.
 */
final class WorkerGuard {
    /** The target is a service p99 within 10% of the service alone. */
    static final double HIGH_RATIO = 1.10;

    private static final double LOW_RATIO = 1.03;
    private static final int HIGH_REPORTS = 2;
    private static final int LOW_REPORTS = 3;

    /** Steps in rising order. */
    enum Step {
        NONE,
        NO_GROWTH,
        THROTTLE,
        EVICT
    }

    private Step step = Step.NONE;
    private int highReports;
    private int lowReports;
    private WorkloadId interferingWorkload;

    Step step() {
        return step;
    }

    /** Names the workload that the steps concern, null for all batch work. */
    void setInterferingWorkload(WorkloadId workload) {
        if (workload != null) {
            interferingWorkload = workload;
        }
    }

    /** Tells whether a workload may grow on the worker. */
    boolean allowsGrowth(WorkloadId workload) {
        return step == Step.NONE
                || (interferingWorkload != null && !interferingWorkload.equals(workload));
    }

    /**
     * Records the worst ratio of a report.
     *
     * @return true if the present step shall be carried out, now or again
     */
    boolean observe(double worstRatio) {
        if (worstRatio > HIGH_RATIO) {
            lowReports = 0;
            if (++highReports >= HIGH_REPORTS) {
                highReports = 0;
                step = Step.values()[Math.min(step.ordinal() + 1, Step.EVICT.ordinal())];
                return true;
            }
        } else if (worstRatio < LOW_RATIO) {
            highReports = 0;
            if (step != Step.NONE && ++lowReports >= LOW_REPORTS) {
                lowReports = 0;
                step = Step.values()[step.ordinal() - 1];
                return true;
            }
        }
        return false;
    }
}
