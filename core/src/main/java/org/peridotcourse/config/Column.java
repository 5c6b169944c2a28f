package org.peridotcourse.config;

import java.util.List;
import java.util.Optional;

/**
 * One column of a table that operators edit, as data.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param name the name of the column
 * @param type the kind of value
 * @param unit the unit of a number, empty for counts and other kinds
 * @param min the lowest number
 * @param max the highest number
 * @param choices the words of a {@link ColumnType#CHOICE} column
 * @param defaultValue the value of an absent column, empty for none
 * @param required true if the column must be present
 */
public record Column(
        String name,
        ColumnType type,
        String unit,
        long min,
        long max,
        List<String> choices,
        Optional<Object> defaultValue,
        boolean required) {
    static Column number(String name, String unit, long min, long max) {
        return new Column(
                name, ColumnType.NUMBER, unit, min, max, List.of(), Optional.empty(), false);
    }

    static Column choice(String name, String... words) {
        return new Column(
                name, ColumnType.CHOICE, "", 0, 0, List.of(words), Optional.empty(), false);
    }

    static Column name(String name) {
        return new Column(name, ColumnType.NAME, "", 0, 0, List.of(), Optional.empty(), false);
    }

    static Column names(String name) {
        return new Column(name, ColumnType.NAMES, "", 0, 0, List.of(), Optional.empty(), false);
    }

    Column withDefault(Object value) {
        return new Column(name, type, unit, min, max, choices, Optional.of(value), false);
    }

    Column asRequired() {
        return new Column(name, type, unit, min, max, choices, Optional.empty(), true);
    }

    /**
     * Returns the allowed values as text.
     *
     * @return a phrase such as {@code a whole number from 1 to 1000}
     */
    public String allowed() {
        return type.allowed(this);
    }

    /**
     * Converts a plain JSON value.
     *
     * @param found a string, number, boolean, list or map
     * @return the value as a long, a string or a list of strings, or empty if it is not allowed
     */
    public Optional<Object> convert(Object found) {
        return type.convert(this, found);
    }

    /**
     * Converts the text that an operator typed to a plain JSON value, which may still be out of
     * range.
     *
     * @param text the text; names of a list are separated by commas
     * @return the value, or empty if the text cannot be a value of this type
     */
    public Optional<Object> parseText(String text) {
        return type.parseText(text);
    }
}
