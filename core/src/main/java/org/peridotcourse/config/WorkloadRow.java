package org.peridotcourse.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.ServiceId;
import org.peridotcourse.WorkloadId;

/**
 * A row of the table {@code workloads}. Instances are immutable and thread-safe.
 *
 * @param id the workload
 * @param isLatencyCritical true for latency-critical work, false for batch work
 * @param service the service of a latency-critical workload, empty for batch work
 * @param deadlineMillis the deadline of requests that do not state one
 * @param weight the weight of the workload's share, relative to other workloads of the customer
 * @param dataCentres the allowed data centres, empty for all that the customer may use
 * @param replicas the number of replicas to run as tasks
 * @param size the declared resources of a task
 * @param isUrgent true if the tasks take precedence within the customer's quota
 * @param cutOffHoldSeconds how long batch tasks continue to run without contact to the placement
 *     owner
 * @param maxEvictionsPerMinute the largest number of evictions per minute
 */
public record WorkloadRow(
        WorkloadId id,
        boolean isLatencyCritical,
        Optional<ServiceId> service,
        int deadlineMillis,
        int weight,
        Optional<Set<DataCentreId>> dataCentres,
        int replicas,
        Resources size,
        boolean isUrgent,
        int cutOffHoldSeconds,
        int maxEvictionsPerMinute)
        implements TypedRow {
    @Override
    public RowKey rowKey() {
        return new RowKey(ConfigTable.WORKLOADS, id.value());
    }

    /**
     * Returns the customer that the workload belongs to.
     *
     * @return the customer
     */
    public CustomerId customer() {
        return CustomerId.of(id.value().substring(0, id.value().indexOf('/')));
    }

    static WorkloadRow of(String key, RowValues values) {
        return new WorkloadRow(
                WorkloadId.of(key),
                values.text("class").equals("latency-critical"),
                values.optionalText("service").map(ServiceId::of),
                values.number("deadline-ms"),
                values.number("weight"),
                values.dataCentres("data-centres"),
                values.number("replicas"),
                Resources.of(
                        values.number("milli-cores"),
                        values.number("memory-mib"),
                        values.number("accelerators")),
                values.text("urgent").equals("yes"),
                values.number("cut-off-hold-seconds"),
                values.number("max-evictions-per-minute"));
    }

    /** Checks the columns against each other; columns with invalid values are absent. */
    static List<RowFault> faults(RowKey key, RowValues values) {
        List<RowFault> faults = new ArrayList<>();
        Optional<String> workloadClass = values.optionalText("class");
        Optional<String> service = values.optionalText("service");
        if (workloadClass.equals(Optional.of("batch")) && service.isPresent()) {
            faults.add(
                    new RowFault(
                            RowFault.Kind.NOT_APPLICABLE,
                            key,
                            "service",
                            service.get(),
                            "no service for class batch"));
        }
        if (workloadClass.equals(Optional.of("latency-critical")) && !values.isPresent("service")) {
            faults.add(
                    new RowFault(
                            RowFault.Kind.MISSING_COLUMN,
                            key,
                            "service",
                            "nothing",
                            "a service for class latency-critical"));
        }
        if (values.optionalNumber("replicas").orElse(0L) > 0) {
            addMissingSize(key, values, "milli-cores", faults);
            addMissingSize(key, values, "memory-mib", faults);
        }
        return faults;
    }

    private static void addMissingSize(
            RowKey key, RowValues values, String column, List<RowFault> faults) {
        if (values.optionalNumber(column).orElse(1L) == 0) {
            faults.add(
                    new RowFault(
                            RowFault.Kind.INVALID_VALUE,
                            key,
                            column,
                            "0",
                            "at least 1 for a workload with replicas"));
        }
    }
}
