package org.peridotcourse.config;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.base.StringId;

/**
 * The types of values that a column may hold, with their conversion from plain JSON values.
 *
 * <p>Plain values are strings, numbers, booleans, lists and maps, as JSON libraries produce them.
 * Constants are immutable and thread-safe.
 */
public enum ColumnType {
    /** A whole number within the column's range. */
    NUMBER {
        @Override
        Optional<Object> convert(Column column, Object jsonValue) {
            boolean isWhole = jsonValue instanceof Long || jsonValue instanceof Integer;
            if (!isWhole) {
                return Optional.empty();
            }
            long number = ((Number) jsonValue).longValue();
            boolean inRange = number >= column.min() && number <= column.max();
            return inRange ? Optional.of(number) : Optional.empty();
        }

        @Override
        String allowed(Column column) {
            String unit = column.unit().isEmpty() ? "" : " " + column.unit();
            return "a whole number from " + column.min() + " to " + column.max() + unit;
        }

        @Override
        Optional<Object> parseText(String text) {
            boolean isNumber = !text.isEmpty() && text.length() <= 18;
            for (int i = 0; i < text.length() && isNumber; i++) {
                isNumber = text.charAt(i) >= '0' && text.charAt(i) <= '9';
            }
            return isNumber ? Optional.of(Long.parseLong(text)) : Optional.empty();
        }
    },
    /** One of the words that the column allows. */
    CHOICE {
        @Override
        Optional<Object> convert(Column column, Object jsonValue) {
            return jsonValue instanceof String word && column.choices().contains(word)
                    ? Optional.of(word)
                    : Optional.empty();
        }

        @Override
        String allowed(Column column) {
            return String.join(" or ", column.choices());
        }

        @Override
        Optional<Object> parseText(String text) {
            return Optional.of(text);
        }
    },
    /** An identifier of one part, see {@link StringId#isValid}. */
    NAME {
        @Override
        Optional<Object> convert(Column column, Object jsonValue) {
            return jsonValue instanceof String name && StringId.isValid(name)
                    ? Optional.of(name)
                    : Optional.empty();
        }

        @Override
        String allowed(Column column) {
            return "a name of 1 to " + StringId.MAX_LENGTH + " of [A-Za-z0-9._-]";
        }

        @Override
        Optional<Object> parseText(String text) {
            return Optional.of(text);
        }
    },
    /** A list of distinct identifiers, at least one. */
    NAMES {
        @Override
        Optional<Object> convert(Column column, Object jsonValue) {
            if (!(jsonValue instanceof List<?> list) || list.isEmpty()) {
                return Optional.empty();
            }
            Set<String> names = new LinkedHashSet<>();
            for (Object item : list) {
                if (!(item instanceof String name) || !StringId.isValid(name) || !names.add(name)) {
                    return Optional.empty();
                }
            }
            return Optional.of(List.copyOf(names));
        }

        @Override
        String allowed(Column column) {
            return "a list of distinct names, at least one";
        }

        @Override
        Optional<Object> parseText(String text) {
            return Optional.of(List.of(text.split(",", -1)));
        }
    };

    abstract Optional<Object> convert(Column column, Object jsonValue);

    abstract String allowed(Column column);

    abstract Optional<Object> parseText(String text);
}
