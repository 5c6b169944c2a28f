package org.peridotcourse.membership;

import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;

/**
 * A daemon in the table {@code daemons}.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param daemon its name
 * @param dataCentre its data centre
 * @param address {@code ip:port} of its peer server
 * @param incarnation distinguishes runs of the daemon; a later run has a larger one
 */
public record Peer(DaemonId daemon, DataCentreId dataCentre, String address, long incarnation) {}
