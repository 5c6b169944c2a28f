package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Failure;
import org.peridotcourse.Result;
import org.peridotcourse.base.Codes;

/** Tells why a call to the store has no result. Constants are immutable and thread-safe. */
public enum RowStoreFailure implements Failure {
    /** No connection. */
    UNREACHABLE("the store cannot be reached"),
    /** The store said that it is unavailable. */
    UNAVAILABLE("the store is unavailable"),
    /** The store said that there are too many calls. */
    RATE_LIMITED("the store has too many calls"),
    /** No answer came in time. */
    NO_ANSWER("the store did not answer"),
    /** The store no longer has the changes that were asked for. */
    HISTORY_GONE("the store no longer has these changes"),
    /** What was read before is too old to be told. */
    OUTDATED("what is known is too old"),
    /** The answer does not follow the protocol, or the call was refused as wrong. */
    MISUNDERSTOOD("the answer of the store was not understood");

    private final String message;

    RowStoreFailure(String message) {
        this.message = message;
    }

    /**
     * Returns why a read failed.
     *
     * @param failed a result without rows
     * @return the trouble
     */
    public static RowStoreFailure of(Result<RowSet> failed) {
        return (RowStoreFailure) failed.failure().orElseThrow();
    }

    /**
     * Tells whether the store itself answered, so that it can be reached.
     *
     * @return true if the trouble is not one of the connection
     */
    public boolean isAnsweredByStore() {
        return this == HISTORY_GONE || this == MISUNDERSTOOD;
    }

    @Override
    public String code() {
        return "store-" + Codes.of(this);
    }

    @Override
    public String message() {
        return message;
    }
}
