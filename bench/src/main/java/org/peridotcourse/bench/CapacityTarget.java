package org.peridotcourse.bench;

/**
 * Size of the deployment in two years, and the limits of a daemon and of the platform's table.
 *
 * <p>The first group of figures comes from the design page. The others are assumptions that the
 * capacity page lists.
 */
final class CapacityTarget {
    static final int DATA_CENTRES = 5;
    static final int REMOTE_DATA_CENTRES = 2;
    static final int WORKERS = 1_800;
    static final int BATCH_TASKS = 15_000;
    static final int STARTS_PER_SECOND = 750;
    static final double CHANGES_PER_SECOND = 1_700 / 86_400.0;
    static final double JOBS_PER_SECOND = 12_000 / 86_400.0;

    /** One row for each data centre, one for each customer and three workloads per customer. */
    static final int CONFIG_ROWS = 5 + 440 + 3 * 440;

    /** As many as workers, the same ratio as today. */
    static final int BACKENDS = 1_800;

    static final int DAEMONS_PER_DATA_CENTRE = 8;
    static final int DAEMONS = DATA_CENTRES * DAEMONS_PER_DATA_CENTRE;
    static final int HOSTS = WORKERS + BACKENDS + DAEMONS;
    static final int WORKERS_PER_OWNER = WORKERS / DATA_CENTRES;

    static final double CORE_SHARE = 0.049;
    static final double DAEMON_BYTES_PER_SECOND = 25_000;
    static final double HEAP_BYTES = 24 << 20;
    static final double WRITES_PER_SECOND = 200;
    static final double READS_PER_SECOND = 2_000;
    static final double START_MILLIS = 7_000;
    static final double CONFIG_MILLIS = 6_000;
    static final double DECISION_MICROS = 1_000;

    /** Time between two reads of the host list: 25 ms for each host, at least 2 s. */
    static final double HOST_LIST_SECONDS = Math.max(2, HOSTS * 0.025);

    private CapacityTarget() {}
}
