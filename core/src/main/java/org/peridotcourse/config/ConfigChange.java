package org.peridotcourse.config;

import java.util.List;

/**
 * The rows that turn one version of the configuration into a later one.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param fromVersion the version that the change applies to, 0 for a full copy
 * @param toVersion the version after the change is applied
 * @param entries the changed rows in their state at {@code toVersion}, including removed rows
 */
public record ConfigChange(long fromVersion, long toVersion, List<ConfigEntry> entries) {
    /**
     * Returns whether the change contains all rows.
     *
     * @return true for a full copy
     */
    public boolean isFull() {
        return fromVersion == 0;
    }
}
