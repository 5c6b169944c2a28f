package org.peridotcourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks the validation of rows against each other. */
class RowValidatorTest {
    private final Map<RowKey, TypedRow> accepted = new HashMap<>();

    private static OperatorRow row(ConfigTable table, String key, Map<String, Object> columns) {
        return new OperatorRow(new RowKey(table, key), 1, "", Optional.of(columns));
    }

    private static OperatorRow removed(ConfigTable table, String key) {
        return OperatorRow.removed(new RowKey(table, key), 2);
    }

    private List<String> validate(OperatorRow... rows) {
        List<Acceptance> results = RowValidator.validate(List.of(rows), accepted);
        for (int i = 0; i < rows.length; i++) {
            OperatorRow row = rows[i];
            if (results.stream()
                    .anyMatch(result -> result.key().equals(row.key()) && result.isAccepted())) {
                row.columns()
                        .flatMap(
                                columns ->
                                        row.key()
                                                .table()
                                                .parse(row.key().key(), columns)
                                                .toOptional())
                        .ifPresentOrElse(
                                typed -> accepted.put(row.key(), typed),
                                () -> accepted.remove(row.key()));
            }
        }
        return results.stream()
                .map(
                        result ->
                                result.key()
                                        + " "
                                        + result.refusal().map(RowFaults::code).orElse("accepted"))
                .toList();
    }

    /**
     * Guards against rows that are refused only because they are listed before the rows that they
     * refer to.
     */
    @Test
    void validatesReferencedTablesFirst() {
        assertEquals(
                List.of(
                        "datacentres/xela accepted",
                        "customers/shop accepted",
                        "workloads/shop/night accepted"),
                validate(
                        row(ConfigTable.WORKLOADS, "shop/night", Map.of("class", "batch")),
                        row(ConfigTable.CUSTOMERS, "shop", Map.of("data-centres", List.of("xela"))),
                        row(ConfigTable.DATA_CENTRES, "xela", Map.of("region", "a"))));
    }

    /** Guards against accepted rows that refer to rows that do not exist. */
    @Test
    void refusesUnknownReferences() {
        List<Acceptance> results =
                RowValidator.validate(
                        List.of(
                                row(
                                        ConfigTable.WORKLOADS,
                                        "shop/night",
                                        Map.of("class", "batch", "data-centres", List.of("x")))),
                        accepted);
        assertEquals(2, results.get(0).refusal().orElseThrow().faults().size());
        assertTrue(RowValidator.isRetryable(results.get(0)));
    }

    /** Guards against two workloads that offer the same service, so that routing is ambiguous. */
    @Test
    void refusesSecondWorkloadWithSameService() {
        Map<String, Object> service = Map.of("class", "latency-critical", "service", "desk");
        assertEquals(
                List.of(
                        "customers/shop accepted",
                        "workloads/shop/a accepted",
                        "workloads/shop/b duplicate-service"),
                validate(
                        row(ConfigTable.CUSTOMERS, "shop", Map.of()),
                        row(ConfigTable.WORKLOADS, "shop/a", service),
                        row(ConfigTable.WORKLOADS, "shop/b", service)));
    }

    /** Guards against a removal that leaves dangling references in accepted rows. */
    @Test
    void refusesRemovalOfReferencedRow() {
        validate(
                row(ConfigTable.CUSTOMERS, "shop", Map.of()),
                row(ConfigTable.WORKLOADS, "shop/night", Map.of("class", "batch")));
        assertEquals(
                List.of("customers/shop still-referenced"),
                validate(removed(ConfigTable.CUSTOMERS, "shop")));
        assertEquals(
                List.of("workloads/shop/night accepted", "customers/shop accepted"),
                validate(
                        removed(ConfigTable.CUSTOMERS, "shop"),
                        removed(ConfigTable.WORKLOADS, "shop/night")));
        assertTrue(accepted.isEmpty());
    }
}
