package org.peridotcourse.config;

import java.util.List;

/**
 * The rows that turn one version of the configuration into a later one.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param fromVersion the version to start from, 0 for a full copy
 * @param toVersion the version after the change
 * @param entries the changed rows, removed ones included, at their final state
 */
public record ConfigChange(long fromVersion, long toVersion, List<ConfigEntry> entries) {
    /**
     * Tells whether the change holds all rows.
     *
     * @return true for a full copy
     */
    public boolean isFull() {
        return fromVersion == 0;
    }
}
