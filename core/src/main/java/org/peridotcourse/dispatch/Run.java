package org.peridotcourse.dispatch;

/** One start of a task on a worker, until it has certainly ended. Confined to one thread. */
final class Run {
    /** The key of a run on its worker. */
    record Key(TaskRef task, int attempt) {}

    final Task task;
    final int attempt;
    final Worker worker;
    final long orderedAt;

    /** True once the worker has confirmed the start or listed the run. */
    boolean confirmed;

    /** True if the start had no answer. */
    boolean unanswered;

    /** When that was known. */
    long unansweredAt;

    /** When the start was confirmed. */
    long confirmedAt;

    StopReason stopReason;

    /** When the worker confirmed the stop, 0 before. */
    long stopConfirmedAt;

    /** When the stop is to be sent again. */
    long stopDueAt;

    int percent;

    /** When the percentage last grew. */
    long percentAt;

    /** Progress at the first report, from which the rate is measured. */
    int firstPercent = -1;

    long firstPercentAt;
    double figure;

    /** Share of its speed at which the worker lets it work. */
    int pace = FillPacing.FULL;

    long pacedAt;

    /** Since when a filling task is at a low pace, 0 if it is not. */
    long slowSince;

    /** True if it has worked at less than full speed by an order. */
    boolean wasPaced;

    /** Since when a serving task is over its bound, 0 if it is not. */
    long overSince;

    /** When its figure was last used to learn. */
    long sampledAt;

    Run(Task task, int attempt, Worker worker, long orderedAt) {
        this.task = task;
        this.attempt = attempt;
        this.worker = worker;
        this.orderedAt = orderedAt;
        this.percentAt = orderedAt;
    }

    Key key() {
        return new Key(task.ref, attempt);
    }

    StepSpec spec() {
        return task.step.spec;
    }

    /** What the task runs, empty if its step does not tell. */
    String image() {
        return spec().image().orElse("");
    }

    /** Names the load that the tasks of a step share. */
    String load() {
        return task.step.load;
    }

    /** Tells whether the task serves users of its own and has a bound for its response times. */
    boolean isServing() {
        return spec().targetMillis() > 0;
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

    void requestStop(StopReason reason, long now) {
        if (stopReason == null) {
            stopReason = reason;
            stopDueAt = now;
            worker.hasStops = true;
        }
    }

    void progress(int newPercent, long now) {
        if (firstPercent < 0) {
            firstPercent = newPercent;
            firstPercentAt = now;
        }
        if (newPercent != percent) {
            percent = newPercent;
            percentAt = now;
        }
    }

    /** Estimated time to the end at the present rate, 0 if it is not known. */
    long remainingMillis(long now) {
        int gained = percent - firstPercent;
        if (firstPercent < 0 || gained <= 0) {
            return 0;
        }
        return (now - firstPercentAt) * (100 - percent) / gained;
    }
}
