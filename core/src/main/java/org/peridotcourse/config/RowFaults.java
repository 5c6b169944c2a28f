package org.peridotcourse.config;

import java.util.List;
import java.util.stream.Collectors;
import org.peridotcourse.Failure;

/**
 * All faults of one row.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param faults the faults, at least one
 */
public record RowFaults(List<RowFault> faults) implements Failure {
    /**
     * Maximum length of the message, in characters. It keeps a stored acceptance far below the
     * largest size of a row, however long the quoted values are.
     */
    private static final int MAX_MESSAGE_LENGTH = 2000;

    /**
     * Returns the code of the first fault.
     *
     * @return the code
     */
    @Override
    public String code() {
        return faults.get(0).kind().code();
    }

    @Override
    public String message() {
        String all = faults.stream().map(RowFault::toString).collect(Collectors.joining("; "));
        return all.length() <= MAX_MESSAGE_LENGTH ? all : all.substring(0, MAX_MESSAGE_LENGTH);
    }

    boolean dependOnOtherRows() {
        return faults.stream().allMatch(fault -> fault.kind().dependsOnOtherRows());
    }
}
