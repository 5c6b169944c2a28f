package org.peridotcourse.config;

import java.util.Optional;

/**
 * The note about an operator's row: accepted, or refused and why.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param key the name of the row
 * @param rowCommit the commit of the operator's row that was judged
 * @param refusal the faults, empty if the row is accepted
 */
public record Acceptance(RowKey key, long rowCommit, Optional<RowFaults> refusal) {
    /**
     * Tells whether the row is accepted.
     *
     * @return true if there is no fault
     */
    public boolean isAccepted() {
        return refusal.isEmpty();
    }
}
