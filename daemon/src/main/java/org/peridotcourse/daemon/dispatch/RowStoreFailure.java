package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.Failure;
import org.peridotcourse.Result;
import org.peridotcourse.base.Codes;

/** The failure of a call to the store. Constants are immutable and thread-safe. */
public enum RowStoreFailure implements Failure {
    /** The connection failed. */
    UNREACHABLE("the store cannot be reached"),
    /** The store reported that it is unavailable. */
    UNAVAILABLE("the store is unavailable"),
    /** The store reported that there are too many calls. */
    RATE_LIMITED("the store reported too many calls"),
    /** No answer came in time. */
    NO_ANSWER("the store did not answer"),
    /** The store no longer has the requested changes. */
    HISTORY_GONE("the store no longer has these changes"),
    /** The data that this host holds is too old to be used. */
    OUTDATED("the data held by this host is too old"),
    /** The answer does not follow the protocol, or the store rejected the call as invalid. */
    MISUNDERSTOOD("the store rejected the call as invalid, or its answer is malformed");

    private final String message;

    RowStoreFailure(String message) {
        this.message = message;
    }

    /**
     * Returns why a read failed.
     *
     * @param failed a result without rows
     * @return the failure
     */
    public static RowStoreFailure of(Result<RowSet> failed) {
        return (RowStoreFailure) failed.failure().orElseThrow();
    }

    /**
     * Returns whether the failure shows that the store is reachable, because the store itself
     * answered.
     *
     * @return true if the store answered the call
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
