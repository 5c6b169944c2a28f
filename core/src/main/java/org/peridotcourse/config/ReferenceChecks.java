package org.peridotcourse.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.peridotcourse.DataCentreId;

/**
 * Checks the references between a row and the accepted rows. It holds no state and is thread-safe.
 */
final class ReferenceChecks {
    private ReferenceChecks() {}

    /** Returns the faults of a row if it were accepted beside the other accepted rows. */
    static List<RowFault> faultsOf(TypedRow row, Map<RowKey, TypedRow> accepted) {
        List<RowFault> faults = new ArrayList<>();
        if (row instanceof CustomerRow customer) {
            addUnknownDataCentres(row, customer.dataCentres(), accepted, faults);
        } else if (row instanceof WorkloadRow workload) {
            addUnknownDataCentres(row, workload.dataCentres(), accepted, faults);
            addUnknownCustomer(workload, accepted, faults);
            addDuplicateService(workload, accepted, faults);
        }
        return faults;
    }

    /** Returns the faults of removing a row from the accepted rows. */
    static List<RowFault> faultsOfRemoval(RowKey removed, Map<RowKey, TypedRow> accepted) {
        Set<String> referrers = new TreeSet<>();
        for (TypedRow row : accepted.values()) {
            if (!row.rowKey().equals(removed) && refersTo(row, removed)) {
                referrers.add(row.rowKey().toString());
            }
        }
        return referrers.isEmpty()
                ? List.of()
                : List.of(
                        new RowFault(
                                RowFault.Kind.STILL_REFERENCED,
                                removed,
                                "",
                                "references by " + String.join(", ", referrers),
                                "removal of a row without references"));
    }

    private static boolean refersTo(TypedRow row, RowKey target) {
        return switch (target.table()) {
            case DATA_CENTRES -> {
                DataCentreId id = DataCentreId.of(target.key());
                yield row instanceof CustomerRow customer && containsId(customer.dataCentres(), id)
                        || row instanceof WorkloadRow workload
                                && containsId(workload.dataCentres(), id);
            }
            case CUSTOMERS ->
                    row instanceof WorkloadRow workload
                            && workload.customer().value().equals(target.key());
            default -> false;
        };
    }

    private static boolean containsId(Optional<Set<DataCentreId>> ids, DataCentreId id) {
        return ids.map(set -> set.contains(id)).orElse(false);
    }

    private static void addUnknownDataCentres(
            TypedRow row,
            Optional<Set<DataCentreId>> dataCentres,
            Map<RowKey, TypedRow> accepted,
            List<RowFault> faults) {
        for (DataCentreId id : new TreeSet<>(dataCentres.orElse(Set.of()))) {
            if (!accepted.containsKey(new RowKey(ConfigTable.DATA_CENTRES, id.value()))) {
                faults.add(
                        new RowFault(
                                RowFault.Kind.UNKNOWN_REFERENCE,
                                row.rowKey(),
                                "data-centres",
                                "'" + id + "'",
                                acceptedKeys(ConfigTable.DATA_CENTRES, accepted)));
            }
        }
    }

    private static void addUnknownCustomer(
            WorkloadRow row, Map<RowKey, TypedRow> accepted, List<RowFault> faults) {
        RowKey customer = new RowKey(ConfigTable.CUSTOMERS, row.customer().value());
        if (!accepted.containsKey(customer)) {
            faults.add(
                    new RowFault(
                            RowFault.Kind.UNKNOWN_REFERENCE,
                            row.rowKey(),
                            "",
                            "customer '" + customer.key() + "'",
                            "a key that starts with an accepted customer"));
        }
    }

    private static void addDuplicateService(
            WorkloadRow row, Map<RowKey, TypedRow> accepted, List<RowFault> faults) {
        for (TypedRow other : accepted.values()) {
            if (row.service().isPresent()
                    && other instanceof WorkloadRow workload
                    && !workload.id().equals(row.id())
                    && workload.customer().equals(row.customer())
                    && workload.service().equals(row.service())) {
                faults.add(
                        new RowFault(
                                RowFault.Kind.DUPLICATE_SERVICE,
                                row.rowKey(),
                                "service",
                                "'" + row.service().get() + "' of " + other.rowKey(),
                                "a service that no other workload of the customer offers"));
            }
        }
    }

    private static String acceptedKeys(ConfigTable table, Map<RowKey, TypedRow> accepted) {
        Set<String> keys = new TreeSet<>();
        for (RowKey key : accepted.keySet()) {
            if (key.table() == table) {
                keys.add(key.key());
            }
        }
        return keys.isEmpty() ? "none is accepted" : String.join(", ", keys);
    }
}
