package org.peridotcourse.base;

import java.util.Locale;

/**
 * Converts names of enum constants to the codes in logs, responses and metrics. It holds no state
 * and is thread-safe.
 */
public final class Codes {
    private Codes() {}

    /**
     * Returns the code of a constant.
     *
     * @param constant the constant
     * @return its name in lower-case words joined by hyphens
     */
    public static String of(Enum<?> constant) {
        return of(constant.name());
    }

    /**
     * Returns the code of the name of a constant.
     *
     * @param name words in upper case, joined by underscores
     * @return the words in lower case, joined by hyphens
     */
    public static String of(String name) {
        return name.toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
