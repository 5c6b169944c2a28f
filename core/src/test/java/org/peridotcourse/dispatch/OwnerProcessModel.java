package org.peridotcourse.dispatch;

/**
 * Models the processor of an owner's process: calls and replies are handled one after the other,
 * and nothing else happens meanwhile. A process that has just started, on a host with a fraction of
 * a core, needs several milliseconds for each call.
 */
final class OwnerProcessModel {
    private final double millisPerCall;
    private double freeAt;

    /**
     * Creates the model of a process without pending work.
     *
     * @param millisPerCall time to send a call; handling its reply takes half of it
     */
    OwnerProcessModel(double millisPerCall) {
        this.millisPerCall = millisPerCall;
    }

    boolean isBusy(long now) {
        return freeAt > now;
    }

    /** Adds the sending of a call, and returns the time at which the call is sent. */
    long sendCall(long now) {
        return occupy(now, millisPerCall);
    }

    /** Adds the handling of a reply, and returns the time at which it is complete. */
    long handleReply(long now) {
        return occupy(now, millisPerCall / 2);
    }

    private long occupy(long now, double millis) {
        freeAt = Math.max(freeAt, now) + millis;
        return (long) Math.ceil(freeAt);
    }
}
