package org.peridotcourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;

/** Checks the conversion of rows and the faults that it reports. */
class ConfigTableTest {
    private static List<String> faults(ConfigTable table, String key, Map<String, Object> row) {
        RowFaults failure = (RowFaults) table.parse(key, row).failure().orElseThrow();
        return failure.faults().stream()
                .map(fault -> fault.column() + " " + fault.kind().code())
                .toList();
    }

    /** Guards against a report of only the first fault, so that operators find the others later. */
    @Test
    void reportsAllFaultsAtOnce() {
        Map<String, Object> row =
                Map.of(
                        "class",
                        "batch",
                        "service",
                        "despacho",
                        "deadline-ms",
                        5,
                        "weight",
                        "100",
                        "urgent",
                        true,
                        "data-centres",
                        List.of("xela", "xela"),
                        "replicas",
                        2,
                        "memory-mib",
                        10.5,
                        "colour",
                        "red");
        assertEquals(
                List.of(
                        " invalid-key",
                        "deadline-ms invalid-value",
                        "weight invalid-value",
                        "data-centres invalid-value",
                        "memory-mib invalid-value",
                        "urgent invalid-value",
                        "colour unknown-column",
                        "service not-applicable",
                        "milli-cores invalid-value"),
                faults(ConfigTable.WORKLOADS, "night", row));
    }

    /** Guards against a fault message that lacks the value found or the allowed values. */
    @Test
    void faultNamesTableKeyColumnFoundAndAllowed() {
        assertEquals(
                "datacentres/xela column region: missing-column, found nothing, allowed a name of 1"
                        + " to 128 of [A-Za-z0-9._-]; datacentres/xela column state: invalid-value,"
                        + " found 'gone', allowed in or out",
                ConfigTable.DATA_CENTRES
                        .parse("xela", Map.of("state", "gone"))
                        .failure()
                        .orElseThrow()
                        .message());
    }

    /** Guards against defaults that differ from the documented ones. */
    @Test
    void fillsInDefaults() {
        CustomerRow customer =
                (CustomerRow)
                        ConfigTable.CUSTOMERS.parse("shop", Map.of()).toOptional().orElseThrow();
        assertEquals(100, customer.weight());
        assertEquals(1000, customer.maxInFlight());
        assertEquals(10_000, customer.maxRequestsPerSecond());
        assertEquals(
                Resources.of(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE), customer.quota());
        assertTrue(customer.isAllowedIn(DataCentreId.of("any")));
        WorkloadRow batch =
                (WorkloadRow)
                        ConfigTable.WORKLOADS
                                .parse("shop/night", Map.of("class", "batch"))
                                .toOptional()
                                .orElseThrow();
        assertEquals(2000, batch.deadlineMillis());
        assertEquals(600, batch.cutOffHoldSeconds());
        assertEquals(10, batch.maxEvictionsPerMinute());
        assertFalse(batch.isUrgent() || batch.isLatencyCritical());
    }

    /** Guards against a latency-critical workload without a service, which no caller can reach. */
    @Test
    void latencyCriticalWorkloadNeedsService() {
        assertEquals(
                List.of("service missing-column"),
                faults(ConfigTable.WORKLOADS, "a/b", Map.of("class", "latency-critical")));
    }

    /** Guards against off-by-one errors in the bounds of numbers. */
    @Test
    void boundsAreInclusive() {
        for (Column column : ConfigTable.WORKLOADS.columns()) {
            if (column.type() == ColumnType.NUMBER) {
                assertTrue(column.convert(column.min()).isPresent());
                assertTrue(column.convert(column.max()).isPresent());
                assertTrue(column.convert(column.min() - 1).isEmpty());
                assertTrue(column.convert(column.max() + 1).isEmpty());
            }
        }
    }
}
