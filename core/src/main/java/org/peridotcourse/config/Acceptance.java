package org.peridotcourse.config;

import java.util.Optional;

/**
 * The result of validating an operator's row: accepted, or refused with the reasons. It is stored
 * in the table {@code acceptance}.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param key the table and key of the row
 * @param rowCommit the commit of the operator's row that was validated
 * @param refusal the faults, empty if the row is accepted
 */
public record Acceptance(RowKey key, long rowCommit, Optional<RowFaults> refusal) {
    /**
     * Returns whether the row is accepted.
     *
     * @return true if there is no fault
     */
    public boolean isAccepted() {
        return refusal.isEmpty();
    }
}
