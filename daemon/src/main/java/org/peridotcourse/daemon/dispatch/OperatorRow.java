package org.peridotcourse.daemon.dispatch;

import org.peridotcourse.dispatch.ClusterConfig;

/** A row that the operator writes. Implementations are immutable and thread-safe. */
public sealed interface OperatorRow
        permits OperatorRow.Config, OperatorRow.Evacuation, OperatorRow.Other {
    /**
     * The configuration.
     *
     * @param config the configuration
     */
    record Config(ClusterConfig config) implements OperatorRow {}

    /**
     * The evacuation of a data centre, in which no task may start while the row exists.
     *
     * @param dataCentre the data centre
     */
    record Evacuation(String dataCentre) implements OperatorRow {}

    /** A row that the job scheduler ignores. */
    record Other() implements OperatorRow {}
}
