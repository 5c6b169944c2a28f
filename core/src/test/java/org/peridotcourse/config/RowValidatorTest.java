package org.peridotcourse.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks the judgement of rows against each other. */
class RowValidatorTest {
    private final Map<RowKey, TypedRow> accepted = new HashMap<>();

    private static OperatorRow row(ConfigTable table, String key, Map<String, Object> columns) {
        return new OperatorRow(new RowKey(table, key), 1, "", Optional.of(columns));
    }

    private static OperatorRow removed(ConfigTable table, String key) {
        return OperatorRow.removed(new RowKey(table, key), 2);
    }

    private List<String> validate(OperatorRow... rows) {
        List<Acceptance> notes = RowValidator.validate(List.of(rows), accepted);
        for (int i = 0; i < rows.length; i++) {
            OperatorRow row = rows[i];
            if (notes.stream().anyMatch(n -> n.key().equals(row.key()) && n.isAccepted())) {
                row.columns()
                        .flatMap(c -> row.key().table().parse(row.key().key(), c).toOptional())
                        .ifPresentOrElse(
                                typed -> accepted.put(row.key(), typed),
                                () -> accepted.remove(row.key()));
            }
        }
        return notes.stream()
                .map(n -> n.key() + " " + n.refusal().map(RowFaults::code).orElse("accepted"))
                .toList();
    }

    /**
     * Guards against rows that are refused only because they were listed before their reference.
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

    /** Guards against rows that refer to nothing. */
    @Test
    void refusesUnknownReferences() {
        List<Acceptance> notes =
                RowValidator.validate(
                        List.of(
                                row(
                                        ConfigTable.WORKLOADS,
                                        "shop/night",
                                        Map.of("class", "batch", "data-centres", List.of("x")))),
                        accepted);
        assertEquals(2, notes.get(0).refusal().orElseThrow().faults().size());
        assertTrue(RowValidator.isRetryable(notes.get(0)));
    }

    /** Guards against a request path that has two workloads for one service. */
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

    /** Guards against a removal that leaves accepted rows with a dangling reference. */
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
