package org.peridotcourse.daemon.entry;

/** Takes complete calls about jobs. Implementations are thread-safe and do not block. */
@FunctionalInterface
interface JobSink {
    /**
     * Takes a call and answers its caller later.
     *
     * @param call the call
     * @param caller its caller
     * @return false if there is no room; the call was not taken
     */
    boolean submit(JobCall call, Caller caller);
}
