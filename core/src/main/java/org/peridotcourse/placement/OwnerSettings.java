package org.peridotcourse.placement;

import org.peridotcourse.DataCentreId;

/**
 * Settings of a placement owner.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param dataCentre the data centre
 * @param daemon name of the daemon, unique per incarnation; the identifiers of its writes start
 *     with it
 * @param tickMillis interval of ticks; each flushes the collected rows
 * @param reportMillis interval of each worker's reports
 * @param renewMillis interval of each worker's lease renewals
 * @param marginMillis margin for clock drift, added before a lease counts as expired
 * @param guardsEnabled false turns off interference guards, for comparison
 */
public record OwnerSettings(
        DataCentreId dataCentre,
        String daemon,
        long tickMillis,
        long reportMillis,
        long renewMillis,
        long marginMillis,
        boolean guardsEnabled) {
    /** Maximum lease granted to a batch task at a time. */
    public static final long BATCH_LEASE_MILLIS = 30_000;

    /** Maximum lease granted to a latency-critical task at a time. */
    public static final long SERVICE_LEASE_MILLIS = 24L * 3600 * 1000;

    /**
     * Lease granted by a start command. It limits how late a delayed command can still start a task
     * in a data centre that has been taken out; the first renewal extends it.
     */
    public static final long START_LEASE_MILLIS = 4_000;

    /** Maximum age of the configuration under which a task may start. */
    public static final long MAX_CONFIG_AGE_MILLIS = 3_000;

    /** Maximum number of rows in one transaction. */
    public static final int MAX_WRITE_ROWS = 200;

    /**
     * Returns the default settings.
     *
     * @param dataCentre the data centre
     * @param daemon name of the daemon, unique per incarnation
     * @return the settings
     */
    public static OwnerSettings of(DataCentreId dataCentre, String daemon) {
        return new OwnerSettings(dataCentre, daemon, 50, 2_000, 8_000, 1_000, true);
    }
}
