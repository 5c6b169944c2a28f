package org.peridotcourse.placement;

/**
 * Steps of the reaction to interference on one worker: stop growth, throttle, evict.
 *
 * <p>A step up needs two high reports in a row, a step down three low ones; between the thresholds
 * nothing changes. Confined to one thread.
 */
final class WorkerGuard {
    /** The target is a service p99 within 10% of the service alone. */
    static final double HIGH = 1.10;

    private static final double LOW = 1.03;
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
    private int high;
    private int low;

    Step step() {
        return step;
    }

    /**
     * Records the worst ratio of a report.
     *
     * @return true if the present step shall be carried out, now or again
     */
    boolean observe(double worstRatio) {
        if (worstRatio > HIGH) {
            low = 0;
            if (++high >= HIGH_REPORTS) {
                high = 0;
                step = Step.values()[Math.min(step.ordinal() + 1, Step.EVICT.ordinal())];
                return true;
            }
        } else if (worstRatio < LOW) {
            high = 0;
            if (step != Step.NONE && ++low >= LOW_REPORTS) {
                low = 0;
                step = Step.values()[step.ordinal() - 1];
                return true;
            }
        }
        return false;
    }
}
