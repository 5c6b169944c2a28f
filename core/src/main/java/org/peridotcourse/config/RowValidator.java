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
 * Judges changed rows of operators against the accepted ones.
 *
 * <p>Rows are judged one after the other, so that each prefix of the answer is a consistent
 * configuration: removed workloads first, then data centres, customers and workloads, and at last
 * removed customers and data centres. It holds no state and is thread-safe.
 */
public final class RowValidator {
    private RowValidator() {}

    /**
     * Judges changed rows.
     *
     * @param changed the rows to judge, removed ones included
     * @param accepted the rows accepted so far
     * @return a note for each row, in an order in which they can be written
     */
    public static List<Acceptance> validate(
            Collection<OperatorRow> changed, Map<RowKey, TypedRow> accepted) {
        Map<RowKey, TypedRow> present = new HashMap<>(accepted);
        List<OperatorRow> order = new ArrayList<>(changed);
        order.sort(
                Comparator.comparingInt(RowValidator::phase)
                        .thenComparingInt(RowValidator::rank)
                        .thenComparing(OperatorRow::key));
        List<Acceptance> notes = new ArrayList<>();
        for (OperatorRow row : order) {
            List<RowFault> faults = validate(row, present);
            Optional<RowFaults> refusal =
                    faults.isEmpty()
                            ? Optional.empty()
                            : Optional.of(new RowFaults(List.copyOf(faults)));
            notes.add(new Acceptance(row.key(), row.commit(), refusal));
        }
        return notes;
    }

    /**
     * Tells whether a refusal may end without a further edit of the row itself.
     *
     * @param note the note
     * @return true if only other rows stand in the way
     */
    public static boolean isRetryable(Acceptance note) {
        return note.refusal().map(RowFaults::dependOnOtherRows).orElse(false);
    }

    private static List<RowFault> validate(OperatorRow row, Map<RowKey, TypedRow> present) {
        if (row.columns().isEmpty()) {
            if (!present.containsKey(row.key())) {
                return List.of();
            }
            List<RowFault> faults = ReferenceChecks.faultsOfRemoval(row.key(), present);
            if (faults.isEmpty()) {
                present.remove(row.key());
            }
            return faults;
        }
        Result<TypedRow> parsed = row.key().table().parse(row.key().key(), row.columns().get());
        if (parsed instanceof Result.Ok<TypedRow> ok) {
            List<RowFault> faults = ReferenceChecks.faultsOf(ok.value(), present);
            if (faults.isEmpty()) {
                present.put(row.key(), ok.value());
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
