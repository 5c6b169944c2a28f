package org.peridotcourse.routing;

/** The final outcome of a request; each request has exactly one. */
public sealed interface Outcome permits Outcome.Answered, Outcome.NotRun, Outcome.Unknown {
    /**
     * Returns the value of the header {@code Peridot-Outcome}.
     *
     * @return the code
     */
    String code();

    /**
     * The backend server's complete response goes to the caller.
     *
     * @param stored true if the response is the stored one of an earlier request with this key
     */
    record Answered(boolean stored) implements Outcome {
        @Override
        public String code() {
            return "answered";
        }
    }

    /**
     * The request certainly did not run.
     *
     * @param reason the reason of the refusal
     * @param retryAfterMillis time until a retry is useful, 0 if none is
     */
    record NotRun(NotRunReason reason, long retryAfterMillis) implements Outcome {
        @Override
        public String code() {
            return "not-run";
        }
    }

    /**
     * The request may have run.
     *
     * @param reason why it is not known whether the request ran
     */
    record Unknown(UnknownReason reason) implements Outcome {
        @Override
        public String code() {
            return "unknown";
        }
    }
}
