package org.peridotcourse.routing;

import java.util.Optional;

/** Kind of a request, which determines whether it may run again and whether it occupies a slot. */
public enum RequestKind {
    /** Running it twice has the effect of running it once. */
    IDEMPOTENT("idempotent", true, true),
    /** It must run at most once. */
    NON_IDEMPOTENT("non-idempotent", false, true),
    /** It waits for changes on a connection and occupies no slot. */
    WATCH("watch", true, false);

    private final String code;
    private final boolean repeatable;
    private final boolean occupiesSlot;

    RequestKind(String code, boolean repeatable, boolean occupiesSlot) {
        this.code = code;
        this.repeatable = repeatable;
        this.occupiesSlot = occupiesSlot;
    }

    /**
     * Returns the kind with the given code.
     *
     * @param code the value of the header {@code Peridot-Kind}
     * @return the kind, or empty if there is none with this code
     */
    public static Optional<RequestKind> parse(String code) {
        for (RequestKind kind : values()) {
            if (kind.code.equals(code)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code of this kind.
     *
     * @return the value of the header {@code Peridot-Kind}
     */
    public String code() {
        return code;
    }

    /**
     * Returns whether a request of this kind may be forwarded again after it was handed over to a
     * backend server.
     *
     * @return true if a second run has no further effect
     */
    public boolean isRepeatable() {
        return repeatable;
    }

    /**
     * Returns whether a request of this kind occupies a slot of the backend server.
     *
     * @return true if it does
     */
    public boolean occupiesSlot() {
        return occupiesSlot;
    }
}
