package org.peridotcourse.base;

import java.util.regex.Pattern;

/**
 * Checks the text of identifiers, so that every identifier is safe in table keys, URLs and logs.
 *
 * <p>Use it in the constructors of identifier records. It holds no state and is thread-safe.
 */
public final class StringId {
    /** Largest length of an identifier part, in characters. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern PART = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private StringId() {}

    /**
     * Returns whether a text is an identifier of one part.
     *
     * @param text the text, may be null
     * @return true if it consists of 1 to 128 letters, digits, dots, underscores or hyphens and
     *     starts with a letter or digit
     */
    public static boolean isValid(String text) {
        return text != null && text.length() <= MAX_LENGTH && PART.matcher(text).matches();
    }

    /**
     * Returns the text if it is an identifier of one part.
     *
     * @param text the text
     * @return the same text
     * @throws InvalidIdException if the text is not an identifier
     */
    public static String check(String text) {
        if (!isValid(text)) {
            throw new InvalidIdException(text);
        }
        return text;
    }

    /**
     * Returns the text if it is an identifier of several parts joined by slashes.
     *
     * @param text the text
     * @param parts the number of parts
     * @return the same text
     * @throws InvalidIdException if the text is not an identifier of that many parts
     */
    public static String checkParts(String text, int parts) {
        String[] actualParts = text == null ? new String[0] : text.split("/", -1);
        if (actualParts.length != parts) {
            throw new InvalidIdException(text);
        }
        for (String part : actualParts) {
            if (!isValid(part)) {
                throw new InvalidIdException(text);
            }
        }
        return text;
    }
}
