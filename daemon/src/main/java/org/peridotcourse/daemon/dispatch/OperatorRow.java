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
     * Nothing may start in a data centre while the row exists.
     *
     * @param dataCentre the data centre
     */
    record Evacuation(String dataCentre) implements OperatorRow {}

    /** A row that this system does not act on. */
    record Other() implements OperatorRow {}
}
