package org.peridotcourse.dispatch;

/**
 * Models the processor of an owner's process: calls and replies are handled one after the other,
 * and nothing else happens meanwhile. A process that has just started, on a host with a fraction of
 * a core, needs several milliseconds for each call.
 */
final class OwnerProcessModel {
    private final long startedAt;
    private final double coldMillis;
    private final double warmMillis;
    private final double warmUpMillis;
    private double freeAt;

    /**
     * Creates the model of a process without pending work, whose calls always cost the same.
     *
     * @param millisPerCall time to send a call; handling its reply takes half of it
     */
    OwnerProcessModel(double millisPerCall) {
        this(0, millisPerCall, millisPerCall, 1);
    }

    private OwnerProcessModel(
            long startedAt, double coldMillis, double warmMillis, double warmUpMillis) {
        this.startedAt = startedAt;
        this.coldMillis = coldMillis;
        this.warmMillis = warmMillis;
        this.warmUpMillis = warmUpMillis;
    }

    /**
     * Creates the model of a process whose calls become cheaper after its start, exponentially.
     *
     * @param startedAt the time at which a call costs {@code coldMillis}
     * @param warmMillis the cost of a call that is approached
     * @param warmUpMillis the time constant
     */
    static OwnerProcessModel warmingUp(
            long startedAt, double coldMillis, double warmMillis, double warmUpMillis) {
        return new OwnerProcessModel(startedAt, coldMillis, warmMillis, warmUpMillis);
    }

    boolean isBusy(long now) {
        return freeAt > now;
    }

    /** Adds the sending of a call, and returns the time at which the call is sent. */
    long sendCall(long now) {
        return occupy(now, millisPerCall(now));
    }

    /** Adds the handling of a reply, and returns the time at which it is complete. */
    long handleReply(long now) {
        return occupy(now, millisPerCall(now) / 2);
    }

    /** Adds other work, and returns the time at which it is complete. */
    long occupy(long now, double millis) {
        freeAt = Math.max(freeAt, now) + millis;
        return (long) Math.ceil(freeAt);
    }

    private double millisPerCall(long now) {
        double coldShare = Math.exp((startedAt - now) / warmUpMillis);
        return warmMillis + (coldMillis - warmMillis) * coldShare;
    }
}
