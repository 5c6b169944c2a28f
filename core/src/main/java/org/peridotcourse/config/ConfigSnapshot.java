package org.peridotcourse.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.ServiceId;
import org.peridotcourse.WorkloadId;

/**
 * The accepted configuration at one version.
 *
 * <p>{@link #apply} never returns a lower version. The most recent removals are retained, so that
 * the changes for a peer with an older version can be computed. Instances are immutable and
 * thread-safe.
 */
public final class ConfigSnapshot {
    /** The configuration of a daemon that has not received any. */
    public static final ConfigSnapshot EMPTY = new ConfigSnapshot(0, 0, Map.of());

    /**
     * Number of removed rows that are retained. A peer whose version is older than a dropped
     * removal needs a full copy.
     */
    private static final int MAX_REMOVED_ENTRIES = 256;

    private final long version;
    private final long minDeltaVersion;
    private final Map<RowKey, ConfigEntry> entries;
    private final Map<Class<? extends TypedRow>, List<TypedRow>> rowsByType = new HashMap<>();
    private final Map<CustomerId, Map<ServiceId, WorkloadRow>> servicesByCustomer = new HashMap<>();

    private ConfigSnapshot(long version, long minDeltaVersion, Map<RowKey, ConfigEntry> entries) {
        this.version = version;
        this.minDeltaVersion = minDeltaVersion;
        this.entries = entries;
        entries.values().stream()
                .sorted(Comparator.comparing(ConfigEntry::key))
                .flatMap(entry -> entry.row().stream())
                .forEach(
                        row ->
                                rowsByType
                                        .computeIfAbsent(row.getClass(), type -> new ArrayList<>())
                                        .add(row));
        for (WorkloadRow row : rows(WorkloadRow.class)) {
            row.service()
                    .ifPresent(
                            service ->
                                    servicesByCustomer
                                            .computeIfAbsent(row.customer(), id -> new HashMap<>())
                                            .put(service, row));
        }
    }

    /**
     * Returns the version.
     *
     * @return the commit that wrote this version, 0 if no configuration was received
     */
    public long version() {
        return version;
    }

    /**
     * Returns a data centre.
     *
     * @param id the identifier
     * @return the row, or empty if there is none
     */
    public Optional<DataCentreRow> dataCentre(DataCentreId id) {
        return row(new RowKey(ConfigTable.DATA_CENTRES, id.value()), DataCentreRow.class);
    }

    /**
     * Returns a customer.
     *
     * @param id the identifier
     * @return the row, or empty if there is none
     */
    public Optional<CustomerRow> customer(CustomerId id) {
        return row(new RowKey(ConfigTable.CUSTOMERS, id.value()), CustomerRow.class);
    }

    /**
     * Returns a workload.
     *
     * @param id the identifier
     * @return the row, or empty if there is none
     */
    public Optional<WorkloadRow> workload(WorkloadId id) {
        return row(new RowKey(ConfigTable.WORKLOADS, id.value()), WorkloadRow.class);
    }

    /**
     * Returns the latency-critical workload that offers a service.
     *
     * @param customer the customer
     * @param service the service
     * @return the row, or empty if the customer has no such service
     */
    public Optional<WorkloadRow> service(CustomerId customer, ServiceId service) {
        return Optional.ofNullable(
                servicesByCustomer.getOrDefault(customer, Map.of()).get(service));
    }

    /**
     * Returns the data centres in which a workload may run.
     *
     * @param workload the workload
     * @return the data centres that are in use and allowed for the customer and the workload, in
     *     the order of their names
     */
    public List<DataCentreId> dataCentresFor(WorkloadRow workload) {
        Optional<CustomerRow> customer = customer(workload.customer());
        return rows(DataCentreRow.class).stream()
                .filter(DataCentreRow::isInUse)
                .map(DataCentreRow::id)
                .filter(
                        id ->
                                workload.dataCentres().map(set -> set.contains(id)).orElse(true)
                                        && customer.map(c -> c.isAllowedIn(id)).orElse(false))
                .toList();
    }

    /**
     * Returns all rows of one type.
     *
     * @param type the type
     * @param <T> the type
     * @return the rows in the order of their keys
     */
    public <T extends TypedRow> List<T> rows(Class<T> type) {
        return rowsByType.getOrDefault(type, List.of()).stream().map(type::cast).toList();
    }

    /**
     * Returns the current row of a key.
     *
     * @param key the key
     * @return the row, or empty if it is absent or removed
     */
    public Optional<TypedRow> row(RowKey key) {
        return Optional.ofNullable(entries.get(key)).flatMap(ConfigEntry::row);
    }

    /**
     * Returns the changes since a version.
     *
     * @param fromVersion the version of the receiver
     * @return the changes, a full copy if the removals since that version are no longer retained,
     *     or empty if the version is not older than this one
     */
    public Optional<ConfigChange> changesSince(long fromVersion) {
        if (fromVersion >= version) {
            return Optional.empty();
        }
        boolean full = fromVersion < minDeltaVersion || fromVersion == 0;
        List<ConfigEntry> changed = new ArrayList<>();
        for (ConfigEntry entry : entries.values()) {
            if (full ? !entry.isRemoved() : entry.version() > fromVersion) {
                changed.add(entry);
            }
        }
        changed.sort(Comparator.comparing(ConfigEntry::key));
        return Optional.of(new ConfigChange(full ? 0 : fromVersion, version, List.copyOf(changed)));
    }

    /**
     * Applies a change if it leads to a later version.
     *
     * <p>A change from an earlier version than this one can be applied too, because it contains the
     * final state of its rows. A change from a later version is ignored, because it lacks the rows
     * that changed in between.
     *
     * @param change the change
     * @return the later snapshot, or this one if the change is ignored
     */
    public ConfigSnapshot apply(ConfigChange change) {
        if (change.toVersion() <= version || change.fromVersion() > version) {
            return this;
        }
        Map<RowKey, ConfigEntry> next = change.isFull() ? new HashMap<>() : new HashMap<>(entries);
        long nextMinDeltaVersion = change.isFull() ? change.toVersion() : minDeltaVersion;
        for (ConfigEntry entry : change.entries()) {
            if (!change.isFull() || !entry.isRemoved()) {
                next.put(entry.key(), entry.withVersion(change.toVersion()));
            }
        }
        return new ConfigSnapshot(
                change.toVersion(),
                Math.max(nextMinDeltaVersion, dropOldestRemovals(next)),
                Map.copyOf(next));
    }

    /** Drops the oldest removals and returns the latest version among them, 0 for none. */
    private static long dropOldestRemovals(Map<RowKey, ConfigEntry> entries) {
        List<ConfigEntry> removed =
                entries.values().stream()
                        .filter(ConfigEntry::isRemoved)
                        .sorted(Comparator.comparingLong(ConfigEntry::version))
                        .toList();
        Collection<ConfigEntry> oldest =
                removed.subList(0, Math.max(0, removed.size() - MAX_REMOVED_ENTRIES));
        long lastDroppedVersion = 0;
        for (ConfigEntry entry : oldest) {
            entries.remove(entry.key());
            lastDroppedVersion = entry.version();
        }
        return lastDroppedVersion;
    }

    private <T extends TypedRow> Optional<T> row(RowKey key, Class<T> type) {
        return row(key).map(type::cast);
    }
}
