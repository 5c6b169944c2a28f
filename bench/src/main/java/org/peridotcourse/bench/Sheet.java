package org.peridotcourse.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Tables in Markdown, in which figures above their limit are marked. Confined to one thread. */
final class Sheet {
    private static final String MARK = " **!**";

    private final StringBuilder text = new StringBuilder();
    private final List<String> exceeded = new ArrayList<>();

    /** Starts a table. */
    void table(String title, String... columns) {
        text.append("\n### ").append(title).append("\n\n");
        row(columns);
        text.append("|---".repeat(columns.length)).append("|\n");
    }

    /** Adds a row of a table. */
    void row(String... cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    /** Adds a paragraph. */
    void paragraph(String words) {
        text.append('\n').append(words).append('\n');
    }

    /** Returns a number, marked and remembered when it exceeds its limit. */
    String limited(String what, double value, double limit, String unit, String change) {
        String shown = number(value);
        if (value <= limit) {
            return shown;
        }
        exceeded.add(
                what + ": " + shown + unit + ", limit " + number(limit) + unit + ". " + change);
        return shown + MARK;
    }

    /** Adds the list of figures that exceed their limit. */
    void exceeded() {
        text.append("\n### Figures above their limit\n\n");
        exceeded.stream().distinct().forEach(line -> text.append("* ").append(line).append('\n'));
        if (exceeded.isEmpty()) {
            text.append("None.\n");
        }
    }

    /** Returns a number with three significant digits. */
    static String number(double value) {
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
