package org.peridotcourse.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Markdown tables in which values above their limit are marked. Not thread-safe. */
final class MarkdownReport {
    private static final String MARK = " **!**";

    private final StringBuilder text = new StringBuilder();
    private final List<String> addExceeded = new ArrayList<>();

    /** Starts a table. */
    void startTable(String title, String... columns) {
        text.append("\n### ").append(title).append("\n\n");
        addRow(columns);
        text.append("|---".repeat(columns.length)).append("|\n");
    }

    /** Adds a row of a table. */
    void addRow(String... cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    /** Adds a paragraph. */
    void addParagraph(String content) {
        text.append('\n').append(content).append('\n');
    }

    /** Formats a number; if it exceeds its limit, marks it and adds it to the exceeded list. */
    String checkLimit(String what, double value, double limit, String unit, String fix) {
        String shown = format(value);
        if (value <= limit) {
            return shown;
        }
        addExceeded.add(
                what + ": " + shown + unit + ", limit " + format(limit) + unit + ". " + fix);
        return shown + MARK;
    }

    /** Adds the list of values that exceed their limit. */
    void addExceeded() {
        text.append("\n### Figures above their limit\n\n");
        addExceeded.stream()
                .distinct()
                .forEach(line -> text.append("* ").append(line).append('\n'));
        if (addExceeded.isEmpty()) {
            text.append("None.\n");
        }
    }

    /** Formats a number with three significant digits. */
    static String format(double value) {
        double size = Math.abs(value);
        if (size >= 100 || value == Math.rint(value)) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        return String.format(Locale.ROOT, size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : "%.3f", value);
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
