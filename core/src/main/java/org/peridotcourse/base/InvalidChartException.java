package org.peridotcourse.base;

import java.util.List;

/**
 * Reports all faults of a state chart. Charts are part of the program, so this exception indicates
 * a programming error; it is thrown at start-up. Instances are immutable.
 */
public final class InvalidChartException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final List<String> faults;

    /**
     * Creates the exception.
     *
     * @param name the name of the chart
     * @param faults the faults, one phrase each
     */
    public InvalidChartException(String name, List<String> faults) {
        super("state chart " + name + ": " + String.join("; ", faults));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns all faults of the chart.
     *
     * @return one phrase for each fault
     */
    public List<String> faults() {
        return faults;
    }
}
