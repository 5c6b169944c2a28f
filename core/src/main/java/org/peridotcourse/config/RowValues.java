package org.peridotcourse.config;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.DataCentreId;

/**
 * The converted values of a row by column, including defaults. Columns with invalid values are
 * absent. Instances are immutable and thread-safe.
 */
final class RowValues {
    private final Map<String, Object> values;
    private final Set<String> writtenColumns;

    RowValues(Map<String, Object> values, Set<String> writtenColumns) {
        this.values = values;
        this.writtenColumns = writtenColumns;
    }

    /** Returns whether the operator wrote the column, whether its value is valid or not. */
    boolean isPresent(String column) {
        return writtenColumns.contains(column);
    }

    String text(String column) {
        return (String) values.get(column);
    }

    Optional<String> optionalText(String column) {
        return Optional.ofNullable((String) values.get(column));
    }

    /** Returns a number; the range of the column must lie within that of an int. */
    int number(String column) {
        return Math.toIntExact((Long) values.get(column));
    }

    Optional<Long> optionalNumber(String column) {
        return Optional.ofNullable((Long) values.get(column));
    }

    /** Returns a limit, or {@link Long#MAX_VALUE} if the column is absent. */
    long numberOrUnlimited(String column) {
        return optionalNumber(column).orElse(Long.MAX_VALUE);
    }

    Optional<Set<DataCentreId>> dataCentres(String column) {
        Object names = values.get(column);
        if (!(names instanceof List<?> list)) {
            return Optional.empty();
        }
        Set<DataCentreId> ids = new LinkedHashSet<>();
        list.forEach(name -> ids.add(DataCentreId.of((String) name)));
        return Optional.of(Set.copyOf(ids));
    }
}
