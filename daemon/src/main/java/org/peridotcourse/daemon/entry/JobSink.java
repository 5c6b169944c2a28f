package org.peridotcourse.daemon.entry;

/** Receives complete calls about jobs. Implementations are thread-safe and do not block. */
@FunctionalInterface
interface JobSink {
    /**
     * Accepts a call, whose response is sent to the caller later.
     *
     * @param call the call
     * @param caller its caller
     * @return false if the call was not accepted because there is no room for it
     */
    boolean submit(JobCall call, Caller caller);
}
