package org.peridotcourse.daemon.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.peridotcourse.base.StringId;

/**
 * The kind of value that a setting has, with its notation.
 *
 * <p>Constants are immutable and thread-safe.
 */
public enum SettingType {
    /** A name that is safe in table keys and URLs. */
    IDENTIFIER("1 to 128 letters, digits, dots, underscores or hyphens") {
        @Override
        Optional<Object> parse(String text, long min, long max) {
            return StringId.isValid(text) ? Optional.of(text) : Optional.empty();
        }
    },
    /** An IP address and a port. */
    ADDRESS("an IP address and a port, such as 127.0.0.1:8080") {
        @Override
        Optional<Object> parse(String text, long min, long max) {
            return parseAddress(text).map(address -> address);
        }
    },
    /** Any number of addresses, separated by commas. */
    ADDRESS_LIST("IP addresses with ports, separated by commas; empty for none") {
        @Override
        Optional<Object> parse(String text, long min, long max) {
            List<InetSocketAddress> addresses = new ArrayList<>();
            if (text.isBlank()) {
                return Optional.of(List.of());
            }
            for (String part : text.split(",", -1)) {
                Optional<InetSocketAddress> address = parseAddress(part.trim());
                if (address.isEmpty()) {
                    return Optional.empty();
                }
                addresses.add(address.get());
            }
            return Optional.of(List.copyOf(addresses));
        }
    },
    /** A duration in whole milliseconds, seconds or minutes. */
    DURATION("a whole number with the unit ms, s or min") {
        @Override
        Optional<Object> parse(String text, long min, long max) {
            return parseNumber(
                    text, min, max, List.of("ms", "s", "min"), List.of(1L, 1000L, 60_000L));
        }

        @Override
        String format(long value) {
            return value != 0 && value % 1000 == 0 ? value / 1000 + "s" : value + "ms";
        }
    },
    /** A size of memory or of a message in bytes. */
    SIZE("a whole number with the unit B, KiB or MiB") {
        @Override
        Optional<Object> parse(String text, long min, long max) {
            return parseNumber(
                    text, min, max, List.of("B", "KiB", "MiB"), List.of(1L, 1024L, 1L << 20));
        }

        @Override
        String format(long value) {
            if (value % (1 << 20) == 0) {
                return (value >> 20) + "MiB";
            }
            return value % 1024 == 0 ? (value >> 10) + "KiB" : value + "B";
        }
    },
    /** A count, without a unit. */
    COUNT("a whole number without a unit") {
        @Override
        Optional<Object> parse(String text, long min, long max) {
            return parseNumber(text, min, max, List.of(""), List.of(1L));
        }
    };

    private static final Pattern NUMBER = Pattern.compile("([0-9]{1,9})([A-Za-z]*)");
    private static final Pattern IP_PORT =
            Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}):([0-9]{1,5})");

    private final String notation;

    SettingType(String notation) {
        this.notation = notation;
    }

    /**
     * Returns the notation of values.
     *
     * @return a phrase for messages and the settings page
     */
    public String notation() {
        return notation;
    }

    /**
     * Parses a value.
     *
     * @param text the text of the settings file
     * @param min the smallest number allowed
     * @param max the largest number allowed
     * @return the value, or empty if the text is not allowed
     */
    abstract Optional<Object> parse(String text, long min, long max);

    /**
     * Formats a number in the notation of this type.
     *
     * @param value the number
     * @return the text
     */
    String format(long value) {
        return Long.toString(value);
    }

    /** Tells whether values are numbers with a range. */
    boolean isNumber() {
        return this == DURATION || this == SIZE || this == COUNT;
    }

    private static Optional<Object> parseNumber(
            String text, long min, long max, List<String> units, List<Long> factors) {
        Matcher matcher = NUMBER.matcher(text);
        if (!matcher.matches() || !units.contains(matcher.group(2))) {
            return Optional.empty();
        }
        long value =
                Long.parseLong(matcher.group(1)) * factors.get(units.indexOf(matcher.group(2)));
        return value >= min && value <= max ? Optional.of(value) : Optional.empty();
    }

    private static Optional<InetSocketAddress> parseAddress(String text) {
        Matcher matcher = IP_PORT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        for (String part : matcher.group(1).split("\\.")) {
            if (Integer.parseInt(part) > 255) {
                return Optional.empty();
            }
        }
        int port = Integer.parseInt(matcher.group(2));
        return port <= 65_535
                ? Optional.of(new InetSocketAddress(matcher.group(1), port))
                : Optional.empty();
    }
}
