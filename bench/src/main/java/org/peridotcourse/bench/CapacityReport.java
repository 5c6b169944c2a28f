package org.peridotcourse.bench;

import java.util.List;
import java.util.Map;

/** Extrapolates the measurements to the two-year size and reports them. Not thread-safe. */
final class CapacityReport {
    /** Reads per second with which a daemon polls a placement lease that another daemon holds. */
    private static final double PLACEMENT_CHALLENGES = 1;

    /** Bytes of a read of a lease row: HTTP headers, and the row with its value. */
    private static final double LEASE_BYTES = HttpOverhead.BYTES + 200;

    /** Reads per second: jobs and tasks every 0.5 s, two rows per other data centre every 2 s. */
    private static final double OWNER_READS = 2 * 2 + 2 * (CapacityTarget.DATA_CENTRES - 1) / 2.0;

    private static final String REPORT_FIX =
            "Reports with only what changed, or fetched every 10 s while nothing changes, and a"
                    + " second owner per data centre (`placement/<dataCentre>/<rack group>`)";

    private static final String LEASE_FIX =
            "A challenger that reads the lease row once a second instead of every 100 ms";

    private final Measurements measurements;
    private final MarkdownReport report = new MarkdownReport();
    private final double callMicros;

    CapacityReport(Measurements measurements) {
        this.measurements = measurements;
        this.callMicros = measurements.value("call micros");
    }

    /** Cost per second of a part of a daemon, and the bytes of its state. */
    private record Load(double messages, double bytes, double micros, double state) {
        Load plus(Load other) {
            return new Load(
                    messages + other.messages,
                    bytes + other.bytes,
                    micros + other.micros,
                    state + other.state);
        }
    }

    /** Returns all tables as Markdown. */
    String toText() {
        addMeasuredFigures();
        addRoles();
        addPlacement();
        addTableLoads();
        addRegionTraffic();
        report.addExceeded();
        return report.toString();
    }

    private void addMeasuredFigures() {
        report.startTable("Measured figures", "figure", "sizes: values", "slope", "base");
        for (Map.Entry<String, List<LinearFit.Point>> entry : measurements.points().entrySet()) {
            List<LinearFit.Point> points = entry.getValue();
            String values = "";
            for (LinearFit.Point point : points) {
                values +=
                        (values.isEmpty() ? "" : "; ")
                                + MarkdownReport.format(point.size())
                                + ": "
                                + MarkdownReport.format(point.value());
            }
            LinearFit fit =
                    points.size() > 1 ? LinearFit.fit(points) : new LinearFit(0, Double.NaN);
            boolean single = points.size() < 2;
            report.addRow(
                    entry.getKey(),
                    values,
                    single ? "" : MarkdownReport.format(fit.slope()),
                    single ? "" : MarkdownReport.format(fit.intercept()));
        }
    }

    private double atRows(String name) {
        return measurements.at(name, CapacityTarget.CONFIG_ROWS);
    }

    private Load config(String role) {
        double changes = CapacityTarget.CHANGES_PER_SECOND;
        double calls = atRows(role + " poll calls");
        double micros =
                atRows(role + " poll micros")
                        + changes * atRows(role + " change micros")
                        + (role.equals("follower")
                                ? measurements.value("exchange micros") / 2
                                : calls * callMicros);
        double bytes = atRows(role + " poll bytes") + changes * atRows(role + " change bytes");
        String state = role.equals("acceptor") ? "acceptor state" : "follower state";
        return new Load(calls, bytes, micros, atRows(state));
    }

    private Load exchangeReplies() {
        // The six followers of a data centre send their exchanges to its two readers.
        double perReader = (CapacityTarget.DAEMONS_PER_DATA_CENTRE - 2) / 2.0;
        return new Load(
                perReader,
                perReader * measurements.value("exchange bytes"),
                perReader * measurements.value("exchange micros") / 2,
                0);
    }

    private Load hosts() {
        double period = CapacityTarget.HOST_LIST_SECONDS;
        return new Load(
                1 / period,
                measurements.at("hosts bytes", CapacityTarget.HOSTS) / period,
                measurements.at("hosts micros", CapacityTarget.HOSTS) / period,
                measurements.at("hosts state", CapacityTarget.HOSTS));
    }

    private Load challenger(double reads) {
        return new Load(reads, reads * LEASE_BYTES, reads * callMicros, 0);
    }

    private Load owner(String name, boolean peak) {
        double workers =
                name.equals("whole") ? CapacityTarget.WORKERS : CapacityTarget.WORKERS_PER_OWNER;
        double calls =
                measurements.estimate(name + " calm calls/s", workers) + OWNER_READS + 1 / 3.0;
        double bytes =
                measurements.estimate(name + " calm bytes/s", workers)
                        + (OWNER_READS + 1 / 3.0) * LEASE_BYTES;
        double micros = measurements.estimate(name + " calm micros/s", workers);
        if (peak) {
            double starts =
                    name.equals("whole")
                            ? CapacityTarget.STARTS_PER_SECOND
                            : (double) CapacityTarget.STARTS_PER_SECOND
                                    / CapacityTarget.DATA_CENTRES;
            double perStart = measurements.value(name + " peak store bytes/start");
            calls += measurements.value(name + " peak tx/s") + starts;
            bytes += starts * (perStart + 450);
            micros += starts * measurements.value(name + " peak micros/start");
        }
        return new Load(
                calls,
                bytes,
                micros + calls * callMicros,
                measurements.estimate(name + " state", workers));
    }

    private Load entry() {
        double queue = 4_000 * measurements.fit("queue state").slope();
        return new Load(0, 0, 0, measurements.at("router state", CapacityTarget.BACKENDS) + queue);
    }

    private void addRoles() {
        report.startTable(
                "Each role at the two-year size",
                "role",
                "state",
                "messages/s",
                "bytes/s",
                "% of a core",
                "heap MB",
                "mechanism");
        Load common =
                hosts().plus(challenger(PLACEMENT_CHALLENGES)).plus(challenger(1)).plus(entry());
        role("host list", "3,640 hosts", hosts(), "HTTP GET every 91 s", "");
        role(
                "lease challengers",
                "two lease rows",
                challenger(PLACEMENT_CHALLENGES + 1),
                "HTTP read of a row, 1/s each for placement and for the acceptor",
                LEASE_FIX);
        role(
                "entry of requests",
                "1,800 servers, 4,000 queued requests",
                entry(),
                "HTTP; the cost of a request is that of `bin/cost`",
                "");
        role(
                "configuration follower",
                "1,765 rows",
                config("follower"),
                "Thrift exchange every second",
                "");
        role(
                "configuration reader",
                "1,765 rows",
                config("reader").plus(exchangeReplies()),
                "HTTP poll every second; answers 3 exchanges/s",
                "");
        role(
                "acceptor",
                "1,765 rows and notes",
                config("acceptor"),
                "HTTP polls of three tables every second",
                "");
        String own = "360 workers, 5,400 tasks";
        role("placement owner, calm", own, owner("owner", false), "HTTP to workers", REPORT_FIX);
        role("placement owner, 150 starts/s", own, owner("owner", true), "the same", REPORT_FIX);
        role(
                "one owner of everything, 750 starts/s",
                "1,800 workers, 27,000 tasks",
                owner("whole", true),
                "the same",
                REPORT_FIX);
        addSums(common);
    }

    private void addSums(Load common) {
        Load follower = common.plus(config("follower"));
        Load reader = common.plus(config("reader")).plus(exchangeReplies());
        role("a daemon without a lease", "sum", follower, "", LEASE_FIX);
        role("a reader without a lease", "sum", reader, "", LEASE_FIX);
        role(
                "a reader that owns placement, calm",
                "sum",
                reader.plus(owner("owner", false)),
                "",
                REPORT_FIX);
        role(
                "a reader that owns placement and accepts, 150 starts/s",
                "sum",
                reader.plus(config("acceptor")).plus(owner("owner", true)),
                "",
                REPORT_FIX);
    }

    private void role(String name, String state, Load load, String mechanism, String fix) {
        report.addRow(
                name,
                state,
                MarkdownReport.format(load.messages()),
                report.checkLimit(
                        name + ", bytes/s",
                        load.bytes(),
                        CapacityTarget.DAEMON_BYTES_PER_SECOND,
                        " B/s",
                        fix),
                report.checkLimit(
                        name + ", share of a core",
                        load.micros() / 1e4,
                        CapacityTarget.CORE_SHARE * 100,
                        "%",
                        fix),
                report.checkLimit(
                        name + ", heap",
                        load.state() / (1 << 20),
                        CapacityTarget.HEAP_BYTES / (1 << 20),
                        " MB",
                        fix),
                mechanism);
    }

    private void addPlacement() {
        report.startTable(
                "Placement at the peak",
                "owner",
                "decision p50 us",
                "decision p99 us",
                "longest wait from job row to start command, ms",
                "rows per start",
                "rows per end of a task");
        for (String name : List.of("owner", "whole")) {
            String title =
                    name.equals("owner") ? "360 workers, 150 starts/s" : "1,800 workers, 750/s";
            report.addRow(
                    title,
                    MarkdownReport.format(measurements.value(name + " decision p50 us")),
                    report.checkLimit(
                            title + ", p99 of a decision",
                            measurements.value(name + " decision p99 us"),
                            CapacityTarget.DECISION_MICROS,
                            " us",
                            "A smaller group of workers for each owner"),
                    report.checkLimit(
                            title + ", wait until the start",
                            measurements.value(name + " peak delay ms"),
                            CapacityTarget.START_MILLIS,
                            " ms",
                            "Larger batches of rows"),
                    MarkdownReport.format(measurements.value(name + " peak rows/start")),
                    MarkdownReport.format(measurements.value(name + " end rows")));
        }
    }

    private double ownersTransactions(double starts) {
        return starts * measurements.value("owner peak tx/s") / 150
                + starts * measurements.value("owner end tx");
    }

    private void addTableLoads() {
        report.startTable(
                "Load on the platform's table", "situation", "writes/s", "reads/s", "carried by");
        double leases = (CapacityTarget.DATA_CENTRES + 1) / 3.0;
        double capacity = CapacityTarget.DATA_CENTRES / 5.0;
        double calm =
                leases
                        + capacity
                        + CapacityTarget.CHANGES_PER_SECOND
                        + 6 * CapacityTarget.JOBS_PER_SECOND;
        double reads =
                (CapacityTarget.DAEMONS - CapacityTarget.DATA_CENTRES) * PLACEMENT_CHALLENGES
                        + (CapacityTarget.DAEMONS - 1)
                        + CapacityTarget.DATA_CENTRES * OWNER_READS
                        + 2 * CapacityTarget.DATA_CENTRES
                        + 3
                        + CapacityTarget.DAEMONS / 10.0
                        + CapacityTarget.DAEMONS / CapacityTarget.HOST_LIST_SECONDS;
        addTableLoad(
                "calm",
                calm,
                reads,
                "lease renewals, free capacity, jobs; lease challenges, polls");
        double peak = ownersTransactions(CapacityTarget.STARTS_PER_SECOND);
        addTableLoad(
                "750 starts/s and as many ends, in 5 owners",
                calm + peak,
                reads,
                "transactions of at most 200 rows");
        double whole =
                measurements.value("whole peak tx/s")
                        + CapacityTarget.STARTS_PER_SECOND * measurements.value("whole end tx");
        addTableLoad("750 starts/s and as many ends, in 1 owner", calm + whole, reads, "the same");
        double moved = (double) CapacityTarget.BATCH_TASKS / CapacityTarget.DATA_CENTRES;
        double handover = CapacityTarget.STARTS_PER_SECOND / 50.0;
        addTableLoad(
                "a data centre fails: its "
                        + MarkdownReport.format(moved)
                        + " batch tasks at 750/s",
                calm + peak + handover,
                reads + (CapacityTarget.DATA_CENTRES - 1) * moved / 1000,
                "conditional writes that move the rows, then starts; each owner reads all rows");
    }

    private void addTableLoad(String situation, double writes, double reads, String mechanism) {
        report.addRow(
                situation,
                report.checkLimit(
                        situation + ", writes of the table",
                        writes,
                        CapacityTarget.WRITES_PER_SECOND,
                        "/s",
                        "Batches, as in the rows above"),
                report.checkLimit(
                        situation + ", reads of the table",
                        reads,
                        CapacityTarget.READS_PER_SECOND,
                        "/s",
                        LEASE_FIX),
                mechanism);
    }

    private void addRegionTraffic() {
        report.startTable("Bytes between the regions", "what", "bytes/s", "Mbit/s");
        int daemons = CapacityTarget.REMOTE_DATA_CENTRES * CapacityTarget.DAEMONS_PER_DATA_CENTRE;
        int owners = CapacityTarget.REMOTE_DATA_CENTRES;
        double config =
                2.0 * owners * config("reader").bytes()
                        + LEASE_BYTES * (daemons + owners * OWNER_READS);
        double challenges = challenger(PLACEMENT_CHALLENGES).bytes() * (daemons - owners);
        double hosts = hosts().bytes() * daemons;
        double starts =
                owners
                        * (double) CapacityTarget.STARTS_PER_SECOND
                        / CapacityTarget.DATA_CENTRES
                        * measurements.value("owner peak store bytes/start");
        addTraffic("configuration, leases, polls of two data centres", config);
        addTraffic("lease challenges of placement", challenges);
        addTraffic("host list", hosts);
        addTraffic("rows at 750 starts/s", starts);
        addTraffic("sum", config + challenges + hosts + starts);
        report.addParagraph(
                "Reports, renewals and commands stay inside a data centre. The link carries about"
                        + " 20 Mbit/s; requests and claims of request keys come on top.");
        report.checkLimit(
                "age of the host list, when no response and no peer names a leaving server",
                CapacityTarget.HOST_LIST_SECONDS * 1_000,
                CapacityTarget.CONFIG_MILLIS,
                " ms",
                "A read of changes only (`since`), or readers that pass the list on");
    }

    private void addTraffic(String what, double bytes) {
        report.addRow(what, MarkdownReport.format(bytes), MarkdownReport.format(bytes * 8 / 1e6));
    }
}
