package org.peridotcourse.bench;

import java.util.List;
import java.util.Map;

/** Computes the figures at the two-year size from the measured lines. Confined to one thread. */
final class CapacitySheet {
    /** Steps of the placement duty's store thread that read a lease row that another holds. */
    private static final double PLACEMENT_CHALLENGES = 1;

    /** A read of a lease row: heads, and the row with its value. */
    private static final double LEASE_BYTES = Heads.BYTES + 200;

    /** Polls of jobs and tasks every 0.5 s, and two rows of four other data centres every 2 s. */
    private static final double OWNER_READS = 2 * 2 + 2 * (Target.DATA_CENTRES - 1) / 2.0;

    private static final String REPORTS =
            "Reports with only what changed, or fetched every 10 s while nothing changes, and a"
                    + " second owner per data centre (`placement/<dataCentre>/<rack group>`)";

    private static final String LEASES =
            "A challenger that reads the lease row once a second instead of every 100 ms";

    private final Figures figures;
    private final Sheet sheet = new Sheet();
    private final double callMicros;

    CapacitySheet(Figures figures) {
        this.figures = figures;
        this.callMicros = figures.value("call micros");
    }

    /** Cost of a part of a daemon for each second. */
    private record Load(double messages, double bytes, double micros, double state) {
        Load plus(Load other) {
            return new Load(
                    messages + other.messages,
                    bytes + other.bytes,
                    micros + other.micros,
                    state + other.state);
        }
    }

    /** Returns the tables. */
    String toText() {
        slopes();
        roles();
        placement();
        table();
        regions();
        sheet.exceeded();
        return sheet.toString();
    }

    private void slopes() {
        sheet.table("Measured figures", "figure", "sizes: values", "slope", "base");
        for (Map.Entry<String, List<Line.Point>> entry : figures.points().entrySet()) {
            List<Line.Point> points = entry.getValue();
            String values = "";
            for (Line.Point point : points) {
                values +=
                        (values.isEmpty() ? "" : "; ")
                                + Sheet.number(point.size())
                                + ": "
                                + Sheet.number(point.value());
            }
            Line line = points.size() > 1 ? Line.through(points) : new Line(0, Double.NaN);
            boolean single = points.size() < 2;
            sheet.row(
                    entry.getKey(),
                    values,
                    single ? "" : Sheet.number(line.slope()),
                    single ? "" : Sheet.number(line.base()));
        }
    }

    private double atRows(String name) {
        return figures.at(name, Target.CONFIG_ROWS);
    }

    private Load config(String role) {
        double changes = Target.CHANGES_PER_SECOND;
        double calls = atRows(role + " poll calls");
        double micros =
                atRows(role + " poll micros")
                        + changes * atRows(role + " change micros")
                        + (role.equals("follower")
                                ? figures.value("exchange micros") / 2
                                : calls * callMicros);
        double bytes = atRows(role + " poll bytes") + changes * atRows(role + " change bytes");
        String state = role.equals("acceptor") ? "acceptor state" : "follower state";
        return new Load(calls, bytes, micros, atRows(state));
    }

    private Load answers() {
        // The six followers of a data centre exchange with its two readers.
        double perReader = (Target.DAEMONS_PER_DATA_CENTRE - 2) / 2.0;
        return new Load(
                perReader,
                perReader * figures.value("exchange bytes"),
                perReader * figures.value("exchange micros") / 2,
                0);
    }

    private Load hosts() {
        double period = Target.HOST_LIST_SECONDS;
        return new Load(
                1 / period,
                figures.at("hosts bytes", Target.HOSTS) / period,
                figures.at("hosts micros", Target.HOSTS) / period,
                figures.at("hosts state", Target.HOSTS));
    }

    private Load challenger(double reads) {
        return new Load(reads, reads * LEASE_BYTES, reads * callMicros, 0);
    }

    private Load owner(String name, boolean peak) {
        double workers = name.equals("whole") ? Target.WORKERS : Target.WORKERS_PER_OWNER;
        double calls = figures.near(name + " calm calls/s", workers) + OWNER_READS + 1 / 3.0;
        double bytes =
                figures.near(name + " calm bytes/s", workers)
                        + (OWNER_READS + 1 / 3.0) * LEASE_BYTES;
        double micros = figures.near(name + " calm micros/s", workers);
        if (peak) {
            double starts =
                    name.equals("whole")
                            ? Target.STARTS_PER_SECOND
                            : (double) Target.STARTS_PER_SECOND / Target.DATA_CENTRES;
            double perStart = figures.value(name + " peak store bytes/start");
            calls += figures.value(name + " peak tx/s") + starts;
            bytes += starts * (perStart + 450);
            micros += starts * figures.value(name + " peak micros/start");
        }
        return new Load(
                calls, bytes, micros + calls * callMicros, figures.near(name + " state", workers));
    }

    private Load entry() {
        double queue = 4_000 * figures.line("queue state").slope();
        return new Load(0, 0, 0, figures.at("router state", Target.BACKENDS) + queue);
    }

    private void roles() {
        sheet.table(
                "Each role at the two-year size",
                "role",
                "state",
                "messages/s",
                "bytes/s",
                "% of a core",
                "heap MB",
                "mechanism");
        Load everyone =
                hosts().plus(challenger(PLACEMENT_CHALLENGES)).plus(challenger(1)).plus(entry());
        role("host list", "3,640 hosts", hosts(), "HTTP GET every 91 s", "");
        role(
                "lease challengers",
                "two lease rows",
                challenger(PLACEMENT_CHALLENGES + 1),
                "HTTP read of a row, 1/s each for placement and for the acceptor",
                LEASES);
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
                config("reader").plus(answers()),
                "HTTP poll every second; answers 3 exchanges/s",
                "");
        role(
                "acceptor",
                "1,765 rows and notes",
                config("acceptor"),
                "HTTP polls of three tables every second",
                "");
        String own = "360 workers, 5,400 tasks";
        role("placement owner, calm", own, owner("owner", false), "HTTP to workers", REPORTS);
        role("placement owner, 150 starts/s", own, owner("owner", true), "the same", REPORTS);
        role(
                "one owner of everything, 750 starts/s",
                "1,800 workers, 27,000 tasks",
                owner("whole", true),
                "the same",
                REPORTS);
        sums(everyone);
    }

    private void sums(Load everyone) {
        Load follower = everyone.plus(config("follower"));
        Load reader = everyone.plus(config("reader")).plus(answers());
        role("a daemon without a lease", "sum", follower, "", LEASES);
        role("a reader without a lease", "sum", reader, "", LEASES);
        role(
                "a reader that owns placement, calm",
                "sum",
                reader.plus(owner("owner", false)),
                "",
                REPORTS);
        role(
                "a reader that owns placement and accepts, 150 starts/s",
                "sum",
                reader.plus(config("acceptor")).plus(owner("owner", true)),
                "",
                REPORTS);
    }

    private void role(String name, String state, Load load, String mechanism, String change) {
        sheet.row(
                name,
                state,
                Sheet.number(load.messages()),
                sheet.limited(
                        name + ", bytes/s",
                        load.bytes(),
                        Target.DAEMON_BYTES_PER_SECOND,
                        " B/s",
                        change),
                sheet.limited(
                        name + ", share of a core",
                        load.micros() / 1e4,
                        Target.CORE_SHARE * 100,
                        "%",
                        change),
                sheet.limited(
                        name + ", heap",
                        load.state() / (1 << 20),
                        Target.HEAP_BYTES / (1 << 20),
                        " MB",
                        change),
                mechanism);
    }

    private void placement() {
        sheet.table(
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
            sheet.row(
                    title,
                    Sheet.number(figures.value(name + " decision p50 us")),
                    sheet.limited(
                            title + ", p99 of a decision",
                            figures.value(name + " decision p99 us"),
                            Target.DECISION_MICROS,
                            " us",
                            "A smaller group of workers for each owner"),
                    sheet.limited(
                            title + ", wait until the start",
                            figures.value(name + " peak delay ms"),
                            Target.START_MILLIS,
                            " ms",
                            "Larger batches of rows"),
                    Sheet.number(figures.value(name + " peak rows/start")),
                    Sheet.number(figures.value(name + " end rows")));
        }
    }

    private double ownersTransactions(double starts) {
        return starts * figures.value("owner peak tx/s") / 150
                + starts * figures.value("owner end tx");
    }

    private void table() {
        sheet.table(
                "Load on the platform's table", "situation", "writes/s", "reads/s", "carried by");
        double leases = (Target.DATA_CENTRES + 1) / 3.0;
        double capacity = Target.DATA_CENTRES / 5.0;
        double calm = leases + capacity + Target.CHANGES_PER_SECOND + 6 * Target.JOBS_PER_SECOND;
        double reads =
                (Target.DAEMONS - Target.DATA_CENTRES) * PLACEMENT_CHALLENGES
                        + (Target.DAEMONS - 1)
                        + Target.DATA_CENTRES * OWNER_READS
                        + 2 * Target.DATA_CENTRES
                        + 3
                        + Target.DAEMONS / 10.0
                        + Target.DAEMONS / Target.HOST_LIST_SECONDS;
        load("calm", calm, reads, "lease renewals, free capacity, jobs; lease challenges, polls");
        double peak = ownersTransactions(Target.STARTS_PER_SECOND);
        load(
                "750 starts/s and as many ends, in 5 owners",
                calm + peak,
                reads,
                "transactions of at most 200 rows");
        double whole =
                figures.value("whole peak tx/s")
                        + Target.STARTS_PER_SECOND * figures.value("whole end tx");
        load("750 starts/s and as many ends, in 1 owner", calm + whole, reads, "the same");
        double moved = (double) Target.BATCH_TASKS / Target.DATA_CENTRES;
        double handover = Target.STARTS_PER_SECOND / 50.0;
        load(
                "a data centre fails: its " + Sheet.number(moved) + " batch tasks at 750/s",
                calm + peak + handover,
                reads + (Target.DATA_CENTRES - 1) * moved / 1000,
                "conditional writes that move the rows, then starts; each owner reads all rows");
    }

    private void load(String situation, double writes, double reads, String by) {
        sheet.row(
                situation,
                sheet.limited(
                        situation + ", writes of the table",
                        writes,
                        Target.WRITES_PER_SECOND,
                        "/s",
                        "Batches, as in the rows above"),
                sheet.limited(
                        situation + ", reads of the table",
                        reads,
                        Target.READS_PER_SECOND,
                        "/s",
                        LEASES),
                by);
    }

    private void regions() {
        sheet.table("Bytes between the regions", "what", "bytes/s", "Mbit/s");
        int daemons = Target.REMOTE_DATA_CENTRES * Target.DAEMONS_PER_DATA_CENTRE;
        int owners = Target.REMOTE_DATA_CENTRES;
        double config =
                2.0 * owners * config("reader").bytes()
                        + LEASE_BYTES * (daemons + owners * OWNER_READS);
        double challenges = challenger(PLACEMENT_CHALLENGES).bytes() * (daemons - owners);
        double hosts = hosts().bytes() * daemons;
        double starts =
                owners
                        * (double) Target.STARTS_PER_SECOND
                        / Target.DATA_CENTRES
                        * figures.value("owner peak store bytes/start");
        link("configuration, leases, polls of two data centres", config);
        link("lease challenges of placement", challenges);
        link("host list", hosts);
        link("rows at 750 starts/s", starts);
        link("sum", config + challenges + hosts + starts);
        sheet.paragraph(
                "Reports, renewals and commands stay inside a data centre. The link carries about"
                        + " 20 Mbit/s; requests and claims of request keys come on top.");
        sheet.limited(
                "age of the host list, when no response and no peer names a leaving server",
                Target.HOST_LIST_SECONDS * 1_000,
                Target.CONFIG_MILLIS,
                " ms",
                "A read of changes only (`since`), or readers that pass the list on");
    }

    private void link(String what, double bytes) {
        sheet.row(what, Sheet.number(bytes), Sheet.number(bytes * 8 / 1e6));
    }
}
