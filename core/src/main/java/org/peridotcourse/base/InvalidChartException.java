package org.peridotcourse.base;

import java.util.List;

/**
 * Reports all faults of a state chart. Charts are part of the program, so this marks a programming
 * error that shows at start-up. Instances are immutable.
 */
public final class InvalidChartException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final List<String> faults;

    /**
     * Creates the exception.
     *
     * @param name name of the chart
     * @param faults what is wrong, one sentence each
     */
    public InvalidChartException(String name, List<String> faults) {
        super("state chart " + name + ": " + String.join("; ", faults));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns what is wrong.
     *
     * @return one sentence for each fault
     */
    public List<String> faults() {
        return faults;
    }
}
