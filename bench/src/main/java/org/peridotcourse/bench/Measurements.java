package org.peridotcourse.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.thrift.transport.TTransportException;

/** Measures figures at several sizes and holds them by name. Not thread-safe. */
final class Measurements {
    /** Sizes of owners: workers, service tasks and batch tasks. */
    private static final int[][] OWNER_SIZES = {
        {90, 600, 750}, {180, 1_200, 1_500}, {360, 2_400, 3_000}
    };

    private static final int[] ROW_COUNTS = {440, 880, 1_760};
    private static final int[] HOST_COUNTS = {910, 1_820, 3_640};
    private static final int[] SERVER_COUNTS = {450, 900, 1_800};
    private static final int PEAK_SECONDS = 4;

    private final Map<String, List<LinearFit.Point>> points = new LinkedHashMap<>();
    private final Consumer<String> progress;

    Measurements(Consumer<String> progress) {
        this.progress = progress;
    }

    /** Returns all measured points. */
    Map<String, List<LinearFit.Point>> points() {
        return points;
    }

    /** Returns the line fitted to the points of a figure. */
    LinearFit fit(String name) {
        return LinearFit.fit(points.get(name));
    }

    /** Returns a figure at a size, from its fitted line. */
    double at(String name, double size) {
        return fit(name).valueAt(size);
    }

    /** Returns the value of a figure at its last measured size, which is the largest. */
    double value(String name) {
        List<LinearFit.Point> measured = points.get(name);
        return measured.get(measured.size() - 1).value();
    }

    /** Returns a figure at a size, or its only value if it was measured at one size. */
    double estimate(String name, double size) {
        return points.get(name).size() > 1 ? at(name, size) : value(name);
    }

    private void add(String name, double size, double value) {
        points.computeIfAbsent(name, key -> new ArrayList<>())
                .add(new LinearFit.Point(size, value));
    }

    /** Measures all roles. */
    void measure() throws IOException, TTransportException {
        progress.accept("warm-up");
        warmUp();
        progress.accept("entry of requests");
        measureRouter();
        progress.accept("placement owner");
        for (int[] size : OWNER_SIZES) {
            measureOwner("owner", size, 150);
        }
        measureOwner("whole", new int[] {1_800, 12_000, 15_000}, 750);
        progress.accept("configuration");
        for (int rows : ROW_COUNTS) {
            measureConfig(rows);
        }
        progress.accept("calls and membership");
        // Runs before the first call, whose buffers would otherwise be counted as state.
        for (int hosts : HOST_COUNTS) {
            add("hosts state", hosts, NetBench.hostStateBytes(hosts));
        }
        add("call micros", 1, NetBench.rowReadMicros(3_000));
        for (int hosts : HOST_COUNTS) {
            NetBench.HostListCost cost = NetBench.measureHostList(hosts, 25);
            add("hosts micros", hosts, cost.micros());
            add("hosts bytes", hosts, cost.wireBytes());
        }
        ConfigBench bench = new ConfigBench(ROW_COUNTS[0]);
        add("exchange micros", 1, NetBench.exchangeMicros(bench, 3_000));
        add("exchange bytes", 1, exchangeBytes(bench));
    }

    private static double exchangeBytes(ConfigBench bench) throws IOException {
        var request = bench.unchangedRequest();
        return ConfigBench.framedSize(request) + ConfigBench.framedSize(bench.reply(request));
    }

    private static void warmUp() {
        new RouterBench(450, 40).cpuMicrosPerRequest(20_000);
        OwnerBench owner = new OwnerBench(90, 600);
        owner.submit("base-", 750);
        owner.advance(60_000);
        ConfigBench config = new ConfigBench(ROW_COUNTS[0]);
        for (int role = 0; role <= 3; role++) {
            config.measure(role, 100, true);
        }
    }

    private void measureRouter() {
        for (int servers : SERVER_COUNTS) {
            RouterBench router = new RouterBench(servers, 40);
            router.cpuMicrosPerRequest(5_000);
            add("router micros", servers, router.cpuMicrosPerRequest(20_000));
        }
        for (int queued : new int[] {1_000, 2_000, 4_000}) {
            measureQueueState(queued);
        }
        for (int servers : SERVER_COUNTS) {
            measureRouterState(servers);
        }
    }

    // Each state size is measured in a separate method, because an interpreted frame keeps the
    // objects of its unused variables reachable.
    private void measureQueueState(int queued) {
        RouterBench router = new RouterBench(SERVER_COUNTS[0], 40);
        long before = ResourceMeter.liveBytes();
        int waiting = router.queueRequests(queued);
        add("queue state", waiting, ResourceMeter.liveBytes() - before);
        keepReachable(router);
    }

    private void measureRouterState(int servers) {
        long before = ResourceMeter.liveBytes();
        RouterBench router = new RouterBench(servers, 40);
        router.cpuMicrosPerRequest(servers);
        add("router state", servers, ResourceMeter.liveBytes() - before);
        keepReachable(router);
    }

    /** Keeps an object reachable until this call. */
    private static void keepReachable(Object object) {
        java.lang.ref.Reference.reachabilityFence(object);
    }

    private void measureOwner(String name, int[] size, int startsPerSecond) {
        int workers = size[0];
        OwnerBench bench = new OwnerBench(workers, size[1]);
        bench.submit("base-", size[2]);
        bench.advance(45_000);
        if (bench.placed() != size[1] + size[2]) {
            throw new IllegalArgumentException("only " + bench.placed() + " tasks are placed");
        }
        bench.reset();
        bench.advance(8_000);
        OwnerBench.Counts calm = bench.counts();
        add(name + " calm micros/s", workers, calm.perSecond(calm.cpuMicros));
        add(name + " calm calls/s", workers, calm.perSecond(calm.workerCalls));
        add(name + " calm bytes/s", workers, calm.perSecond(calm.workerBytes));
        bench.reset();
        for (int i = 0; i < PEAK_SECONDS * 5; i++) {
            bench.submit("peak-", startsPerSecond / 5);
            bench.advance(200);
        }
        long submittedFor = PEAK_SECONDS * 1_000L;
        OwnerBench.Counts peak = bench.counts();
        double inTime = peak.starts;
        bench.advance(8_000);
        double seconds = submittedFor / 1e3;
        add(name + " peak micros/start", workers, peak.cpuMicros / peak.starts);
        add(name + " peak started", workers, inTime / startsPerSecond / seconds);
        add(name + " peak tx/s", workers, peak.transactions / seconds);
        add(name + " peak rows/start", workers, (double) peak.rows / peak.starts);
        add(name + " peak store bytes/start", workers, (double) peak.storeBytes / peak.starts);
        add(name + " peak delay ms", workers, peak.longestStartMillis);
        add(name + " decision p50 us", workers, percentile(peak, 50));
        add(name + " decision p99 us", workers, percentile(peak, 99));
        bench.reset();
        int finished = bench.finish("peak-");
        bench.advance(8_000);
        add(name + " end rows", workers, (double) bench.counts().rows / finished);
        add(name + " end tx", workers, (double) bench.counts().transactions / finished);
        add(name + " state", workers, bench.stateBytes());
    }

    private static double percentile(OwnerBench.Counts counts, double percentile) {
        return counts.decisions.getValueAtPercentile(percentile) / 1e3;
    }

    private void measureConfig(int rows) {
        ConfigBench bench = new ConfigBench(rows);
        if (!bench.allUpToDate()) {
            throw new IllegalArgumentException("a daemon has not received the configuration");
        }
        add("acceptor takeover micros", rows, bench.firstStepMicros);
        String[] roles = {"acceptor", "reader", "reader", "follower"};
        for (int role : new int[] {0, 1, 3}) {
            ConfigBench.Cost unchanged = bench.measure(role, 60, false);
            ConfigBench.Cost editing = bench.measure(role, 60, true);
            add(roles[role] + " poll micros", rows, unchanged.micros());
            add(roles[role] + " poll bytes", rows, unchanged.bytes());
            add(roles[role] + " poll calls", rows, unchanged.calls());
            add(roles[role] + " change micros", rows, editing.micros() - unchanged.micros());
            add(roles[role] + " change bytes", rows, editing.bytes() - unchanged.bytes());
        }
        add("acceptor state", rows, bench.acceptorBytes());
        add("follower state", rows, bench.followerBytes());
    }
}
