package org.peridotcourse.config;

import java.util.List;
import java.util.Optional;

/**
 * The definition of one column of a table that operators edit.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param name the name of the column
 * @param type the type of the values
 * @param unit the unit of a number, empty for plain counts and for other types
 * @param min the smallest allowed number
 * @param max the largest allowed number
 * @param choices the allowed words of a {@link ColumnType#CHOICE} column
 * @param defaultValue the value of an absent column, empty if there is no default
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

    static Column choice(String name, String... choices) {
        return new Column(
                name, ColumnType.CHOICE, "", 0, 0, List.of(choices), Optional.empty(), false);
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
     * Describes the allowed values.
     *
     * @return a phrase such as {@code a whole number from 1 to 1000}
     */
    public String allowed() {
        return type.allowed(this);
    }

    /**
     * Converts a plain JSON value to a value of this column.
     *
     * @param jsonValue a string, number, boolean, list or map
     * @return the value as a long, a string or a list of strings, or empty if it is not allowed
     */
    public Optional<Object> convert(Object jsonValue) {
        return type.convert(this, jsonValue);
    }

    /**
     * Converts text that an operator entered to a plain JSON value. The range is not checked; use
     * {@link #convert} for that.
     *
     * @param text the text; names of a list are separated by commas
     * @return the value, or empty if the text cannot be a value of this type
     */
    public Optional<Object> parseText(String text) {
        return type.parseText(text);
    }
}
