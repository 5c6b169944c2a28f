package org.peridotcourse.placement;

import org.peridotcourse.WorkloadId;

/**
 * Escalation of the reaction to interference on one worker: no growth, throttle, evict.
 *
 * <p>A step up takes two high reports without a low one in between, a step down three low ones
 * without a high one in between. Reports between the thresholds do not count. Confined to one
 * thread.
 */
final class WorkerGuard {
    /**
     * Threshold of a high report: the target is a service p99 within 10% of that without batch
     * work.
     */
    static final double HIGH_RATIO = 1.10;

    private static final double LOW_RATIO = 1.03;
    private static final int HIGH_REPORTS = 2;
    private static final int LOW_REPORTS = 3;

    /** Steps in the order of escalation. */
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

    /** Sets the workload to which the steps apply; null leaves it unchanged. */
    void setInterferingWorkload(WorkloadId workload) {
        if (workload != null) {
            interferingWorkload = workload;
        }
    }

    /** Returns whether the worker may receive more tasks of a workload. */
    boolean allowsGrowth(WorkloadId workload) {
        return step == Step.NONE
                || (interferingWorkload != null && !interferingWorkload.equals(workload));
    }

    /**
     * Records the worst latency ratio of a report.
     *
     * @return true if the current step must be applied, for the first time or again
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
