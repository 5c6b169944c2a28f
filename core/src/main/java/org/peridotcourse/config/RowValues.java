package org.peridotcourse.config;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.DataCentreId;

/**
 * The converted values of a row by column, defaults included. Instances are immutable and
 * thread-safe.
 */
final class RowValues {
    private final Map<String, Object> values;
    private final Set<String> writtenColumns;

    RowValues(Map<String, Object> values, Set<String> written) {
        this.values = values;
        this.writtenColumns = written;
    }

    /** Tells whether the operator wrote the column, with or without a fault. */
    boolean isPresent(String column) {
        return writtenColumns.contains(column);
    }

    String text(String column) {
        return (String) values.get(column);
    }

    Optional<String> optionalText(String column) {
        return Optional.ofNullable((String) values.get(column));
    }

    /** Numbers of all columns that are read by this method have ranges within an int. */
    int number(String column) {
        return Math.toIntExact((Long) values.get(column));
    }

    Optional<Long> optionalNumber(String column) {
        return Optional.ofNullable((Long) values.get(column));
    }

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
