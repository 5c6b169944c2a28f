package org.peridotcourse.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.peridotcourse.Failure;

/**
 * All faults of a settings file. Instances are immutable and thread-safe.
 *
 * @param faults the faults, at least one
 */
public record SettingFaults(List<SettingFault> faults) implements Failure {
    /**
     * Creates an immutable copy of the list.
     *
     * @param faults the faults
     */
    public SettingFaults {
        faults = List.copyOf(faults);
    }

    @Override
    public String code() {
        return "invalid-settings";
    }

    @Override
    public String message() {
        return faults.stream().map(SettingFault::toLine).collect(Collectors.joining("\n"));
    }
}
