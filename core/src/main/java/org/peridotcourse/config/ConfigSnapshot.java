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
 * <p>{@link #apply} never returns a lower version. Removed rows are remembered for a while, so that
 * a change for a peer that is behind can be computed. Instances are immutable and thread-safe.
 */
public final class ConfigSnapshot {
    /** The configuration of a daemon that has not learned any. */
    public static final ConfigSnapshot EMPTY = new ConfigSnapshot(0, 0, Map.of());

    /** Removed rows that are remembered; older ones cost a full copy for peers far behind. */
    private static final int MAX_REMOVED_ENTRIES = 256;

    private final long version;
    private final long minDeltaVersion;
    private final Map<RowKey, ConfigEntry> entries;
    private final Map<Class<? extends TypedRow>, List<TypedRow>> rowsByType = new HashMap<>();
    private final Map<CustomerId, Map<ServiceId, WorkloadRow>> servicesByCustomer = new HashMap<>();

    private ConfigSnapshot(long version, long floor, Map<RowKey, ConfigEntry> entries) {
        this.version = version;
        this.minDeltaVersion = floor;
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
     * @return the commit number of the acceptance, 0 if nothing is known
     */
    public long version() {
        return version;
    }

    /**
     * Returns a data centre.
     *
     * @param id its name
     * @return the row, or empty if there is none
     */
    public Optional<DataCentreRow> dataCentre(DataCentreId id) {
        return row(new RowKey(ConfigTable.DATA_CENTRES, id.value()), DataCentreRow.class);
    }

    /**
     * Returns a customer.
     *
     * @param id its name
     * @return the row, or empty if there is none
     */
    public Optional<CustomerRow> customer(CustomerId id) {
        return row(new RowKey(ConfigTable.CUSTOMERS, id.value()), CustomerRow.class);
    }

    /**
     * Returns a workload.
     *
     * @param id its name
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
     * @return the data centres that are {@code in} and allowed, in the order of their names
     */
    public List<DataCentreId> dataCentresFor(WorkloadRow workload) {
        Optional<CustomerRow> customer = customer(workload.customer());
        return rows(DataCentreRow.class).stream()
                .filter(DataCentreRow::isIn)
                .map(DataCentreRow::id)
                .filter(
                        id ->
                                workload.dataCentres().map(set -> set.contains(id)).orElse(true)
                                        && customer.map(c -> c.isAllowedIn(id)).orElse(false))
                .toList();
    }

    /**
     * Returns all rows of one kind.
     *
     * @param type the kind
     * @param <T> the kind
     * @return the rows in the order of their keys
     */
    public <T extends TypedRow> List<T> rows(Class<T> type) {
        return rowsByType.getOrDefault(type, List.of()).stream().map(type::cast).toList();
    }

    /**
     * Returns the present row of a key.
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
     * @param fromVersion the version that the receiver has
     * @return the change, a full copy if the version is too old, or empty if it is not older
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
     * <p>A change that starts before this version may be applied too, because it holds the final
     * state of its rows. One that starts after this version lacks rows and is left out.
     *
     * @param change the change
     * @return the later snapshot, or this one
     */
    public ConfigSnapshot apply(ConfigChange change) {
        if (change.toVersion() <= version || change.fromVersion() > version) {
            return this;
        }
        Map<RowKey, ConfigEntry> next = change.isFull() ? new HashMap<>() : new HashMap<>(entries);
        long nextFloor = change.isFull() ? change.toVersion() : minDeltaVersion;
        for (ConfigEntry entry : change.entries()) {
            if (!change.isFull() || !entry.isRemoved()) {
                next.put(entry.key(), entry.withVersion(change.toVersion()));
            }
        }
        return new ConfigSnapshot(
                change.toVersion(),
                Math.max(nextFloor, dropOldestRemovals(next)),
                Map.copyOf(next));
    }

    private static long dropOldestRemovals(Map<RowKey, ConfigEntry> entries) {
        List<ConfigEntry> removed =
                entries.values().stream()
                        .filter(ConfigEntry::isRemoved)
                        .sorted(Comparator.comparingLong(ConfigEntry::version))
                        .toList();
        Collection<ConfigEntry> oldest =
                removed.subList(0, Math.max(0, removed.size() - MAX_REMOVED_ENTRIES));
        long forgotten = 0;
        for (ConfigEntry entry : oldest) {
            entries.remove(entry.key());
            forgotten = entry.version();
        }
        return forgotten;
    }

    private <T extends TypedRow> Optional<T> row(RowKey key, Class<T> type) {
        return row(key).map(type::cast);
    }
}
