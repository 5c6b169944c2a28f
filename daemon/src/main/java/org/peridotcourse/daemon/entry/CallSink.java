package org.peridotcourse.daemon.entry;

/** Receives complete calls. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface CallSink {
    /**
     * Accepts a call, whose response is sent to the caller later.
     *
     * @param call the call
     * @param caller its caller
     * @return false if the call was not accepted because there is no room for it
     */
    boolean submit(IncomingCall call, Caller caller);
}
