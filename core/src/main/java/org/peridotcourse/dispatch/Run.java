package org.peridotcourse.dispatch;

/** One attempt of a task on a worker, until it has definitely ended. Confined to one thread. */
final class Run {
    /** Identifies a run on its worker. */
    record Key(TaskRef task, int attempt) {}

    final Task task;
    final int attempt;
    final Worker worker;

    /** When the start was ordered, or when the run was adopted from an earlier owner. */
    final long orderedAt;

    /** False while the start waits for its record to be stored and has not been sent. */
    boolean sent = true;

    /** True if the start was recorded in the store before it was sent. */
    boolean recordedAhead;

    /** True if nothing else was started on the worker from before the start until it is proven. */
    boolean alone;

    /** True once the worker has confirmed the start or reported the run. */
    boolean confirmed;

    /** True if the start had no reply and no report has shown yet whether it was carried out. */
    boolean startUnanswered;

    /** When the wait for the reply to the start ended without one. */
    long startUnansweredAt;

    /** When the start was confirmed. */
    long confirmedAt;

    StopReason stopReason;

    /** When the stop was requested. */
    long stopRequestedAt;

    /** When the worker confirmed the stop, 0 if it has not. */
    long stopConfirmedAt;

    /** When the stop is to be sent, or sent again. */
    long nextStopAt;

    /** Progress, 0 to 100; a lasting task is operational at 100. */
    int percent;

    /** When the percentage last changed. */
    long progressedAt;

    /** Progress at the first report, from which the rate is measured; -1 before. */
    int firstPercent = -1;

    long firstPercentAt;

    /** Last reported tail response time in milliseconds if it serves, else processor use. */
    double measurement;

    /** Last ordered pace: the percentage of full speed at which the worker runs the task. */
    int pacePercent = FillThrottle.FULL_PACE_PERCENT;

    /**
     * False if the worker may run the task at another pace, since the last order failed or an
     * earlier owner set the pace.
     */
    boolean paceKnown = true;

    /** When the pace was last changed. */
    long paceChangedAt;

    /** Since when a filling task has had a low pace, 0 if it has not. */
    long lowPaceSince;

    /** True if an order has ever set a pace below full speed. */
    boolean wasThrottled;

    /** Since when the response times of a serving task exceed their target, 0 if they do not. */
    long overTargetSince;

    /** When its measurement was last used as a sample by the tail model. */
    long lastSampledAt;

    Run(Task task, int attempt, Worker worker, long orderedAt) {
        this.task = task;
        this.attempt = attempt;
        this.worker = worker;
        this.orderedAt = orderedAt;
        this.progressedAt = orderedAt;
    }

    Key key() {
        return new Key(task.ref, attempt);
    }

    StepSpec spec() {
        return task.step.spec;
    }

    /** Returns the image of the task, empty if its step has none. */
    String image() {
        return spec().image().orElse("");
    }

    /** Returns the key of the load that the serving tasks of its step share. */
    String loadKey() {
        return task.step.loadKey;
    }

    /** Returns whether the task serves requests and has a target for its response times. */
    boolean isServing() {
        return spec().latencyTargetMillis() > 0;
    }

    boolean isStopping() {
        return stopReason != null;
    }

    void confirm(long now) {
        if (!confirmed) {
            confirmed = true;
            confirmedAt = now;
        }
    }

    /** Returns whether the worker has been seen to outlive the start of the run. */
    boolean isProven() {
        return confirmed && worker.lastAliveAt - confirmedAt >= CrashAttribution.PROOF_MILLIS;
    }

    /** Returns whether the run may have been started but is not proven yet. */
    boolean isYoung() {
        return sent && !isProven();
    }

    void requestStop(StopReason reason, long now) {
        if (stopReason == null) {
            stopReason = reason;
            stopRequestedAt = now;
            nextStopAt = now;
            worker.hasPendingStops = true;
        }
    }

    void updateProgress(int newPercent, long now) {
        if (firstPercent < 0) {
            firstPercent = newPercent;
            firstPercentAt = now;
        }
        if (newPercent != percent) {
            percent = newPercent;
            progressedAt = now;
        }
    }

    /** Returns the estimated time to completion at the measured rate, 0 if there is no rate yet. */
    long remainingMillis(long now) {
        int gainedPercent = percent - firstPercent;
        if (firstPercent < 0 || gainedPercent <= 0) {
            return 0;
        }
        return (now - firstPercentAt) * (100 - percent) / gainedPercent;
    }
}
