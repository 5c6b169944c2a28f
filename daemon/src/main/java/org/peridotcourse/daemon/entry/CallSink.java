package org.peridotcourse.daemon.entry;

/** Takes whole calls. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface CallSink {
    /**
     * Takes a call and answers its caller later.
     *
     * @param call the call
     * @param caller its caller
     * @return false if there is no room; the call was not taken
     */
    boolean submit(IncomingCall call, Caller caller);
}
