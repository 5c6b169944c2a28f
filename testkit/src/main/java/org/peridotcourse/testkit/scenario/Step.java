package org.peridotcourse.testkit.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * One line of a scenario.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param line the line number, from 1
 * @param text the line without leading and trailing white space
 * @param block the lines of the block that follows, empty if there is none
 */
public record Step(int line, String text, List<String> block) {
    private static final String BLOCK_START = "<<";
    private static final String BLOCK_END = ">>";
    private static final String COMMENT = "#";

    /**
     * Parses the lines of a scenario. The lines between a line that ends with {@code <<} and the
     * next {@code >>} form the block of that step; blank lines and lines that start with {@code #}
     * are ignored.
     *
     * @param lines the lines
     * @return the steps
     */
    public static List<Step> parse(List<String> lines) {
        List<Step> steps = new ArrayList<>();
        int index = 0;
        while (index < lines.size()) {
            int lineNumber = index + 1;
            String text = lines.get(index++).strip();
            if (text.isEmpty() || text.startsWith(COMMENT)) {
                continue;
            }
            List<String> block = new ArrayList<>();
            if (text.endsWith(BLOCK_START)) {
                text = text.substring(0, text.length() - BLOCK_START.length()).strip();
                while (index < lines.size() && !lines.get(index).strip().equals(BLOCK_END)) {
                    block.add(lines.get(index++));
                }
                index++;
            }
            steps.add(new Step(lineNumber, text, List.copyOf(block)));
        }
        return steps;
    }

    /**
     * Returns the first word of the line.
     *
     * @return the keyword
     */
    public String keyword() {
        return words(text).get(0);
    }

    /**
     * Returns the words between the keyword and {@code =>}.
     *
     * @return the words; quoted words may contain blanks
     */
    public List<String> arguments() {
        List<String> words = words(text);
        int end = words.indexOf("=>");
        return words.subList(1, end < 0 ? words.size() : end);
    }

    /**
     * Returns the conditions, which follow {@code =>} and are separated by {@code ;}.
     *
     * @return the words of each condition
     */
    public List<List<String>> conditions() {
        List<String> words = words(text);
        List<List<String>> conditions = new ArrayList<>();
        int separator = words.indexOf("=>");
        if (separator < 0) {
            return conditions;
        }
        List<String> current = new ArrayList<>();
        for (String word : words.subList(separator + 1, words.size())) {
            if (word.equals(";")) {
                conditions.add(List.copyOf(current));
                current.clear();
            } else {
                current.add(word);
            }
        }
        conditions.add(List.copyOf(current));
        return conditions;
    }

    /** Splits the text at blanks, except between single quotes. */
    private static List<String> words(String text) {
        List<String> words = new ArrayList<>();
        StringBuilder word = new StringBuilder();
        boolean quoted = false;
        boolean inWord = false;
        for (char c : text.toCharArray()) {
            if (c == '\'') {
                quoted = !quoted;
                inWord = true;
            } else if (c == ' ' && !quoted) {
                if (inWord) {
                    words.add(word.toString());
                }
                word.setLength(0);
                inWord = false;
            } else {
                word.append(c);
                inWord = true;
            }
        }
        if (inWord) {
            words.add(word.toString());
        }
        return words;
    }
}
