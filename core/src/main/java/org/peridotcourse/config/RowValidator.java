package org.peridotcourse.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Result;

/**
 * Validates rows that operators have changed against the accepted rows.
 *
 * <p>Rows are validated one after the other, each against the outcome of the earlier ones, so that
 * each prefix of the result is a consistent configuration. The order is: removed workloads; then
 * changed data centres, customers and workloads; then removed customers and removed data centres.
 * It holds no state and is thread-safe.
 */
public final class RowValidator {
    private RowValidator() {}

    /**
     * Validates changed rows.
     *
     * @param changed the rows to validate, including removed rows
     * @param accepted the rows accepted before
     * @return one result for each row, in an order in which they can be written
     */
    public static List<Acceptance> validate(
            Collection<OperatorRow> changed, Map<RowKey, TypedRow> accepted) {
        Map<RowKey, TypedRow> current = new HashMap<>(accepted);
        List<OperatorRow> ordered = new ArrayList<>(changed);
        ordered.sort(
                Comparator.comparingInt(RowValidator::phase)
                        .thenComparingInt(RowValidator::rank)
                        .thenComparing(OperatorRow::key));
        List<Acceptance> results = new ArrayList<>();
        for (OperatorRow row : ordered) {
            List<RowFault> faults = validate(row, current);
            Optional<RowFaults> refusal =
                    faults.isEmpty()
                            ? Optional.empty()
                            : Optional.of(new RowFaults(List.copyOf(faults)));
            results.add(new Acceptance(row.key(), row.commit(), refusal));
        }
        return results;
    }

    /**
     * Returns whether a refused row may be accepted later without a change of the row itself.
     *
     * @param result the result of the validation
     * @return true if the row is refused only because of other rows
     */
    public static boolean isRetryable(Acceptance result) {
        return result.refusal().map(RowFaults::dependOnOtherRows).orElse(false);
    }

    private static List<RowFault> validate(OperatorRow row, Map<RowKey, TypedRow> current) {
        if (row.columns().isEmpty()) {
            if (!current.containsKey(row.key())) {
                return List.of();
            }
            List<RowFault> faults = ReferenceChecks.faultsOfRemoval(row.key(), current);
            if (faults.isEmpty()) {
                current.remove(row.key());
            }
            return faults;
        }
        Result<TypedRow> parsed = row.key().table().parse(row.key().key(), row.columns().get());
        if (parsed instanceof Result.Ok<TypedRow> ok) {
            List<RowFault> faults = ReferenceChecks.faultsOf(ok.value(), current);
            if (faults.isEmpty()) {
                current.put(row.key(), ok.value());
            }
            return faults;
        }
        return parsed.failure()
                .filter(RowFaults.class::isInstance)
                .map(RowFaults.class::cast)
                .map(RowFaults::faults)
                .orElse(List.of());
    }

    private static int phase(OperatorRow row) {
        boolean removed = row.columns().isEmpty();
        if (!removed) {
            return 1;
        }
        return row.key().table() == ConfigTable.WORKLOADS ? 0 : 2;
    }

    private static int rank(OperatorRow row) {
        int rank = row.key().table().ordinal();
        return row.columns().isEmpty() ? -rank : rank;
    }
}
