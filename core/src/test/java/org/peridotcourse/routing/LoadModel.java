package org.peridotcourse.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.peridotcourse.BackendId;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.ServiceId;

/**
 * Discrete-event simulation of entry hosts and backend servers with slots, for the comparison of
 * policies. Times are in milliseconds. A server queues requests that exceed its slots, and also
 * completes requests that the entry host has abandoned.
 */
final class LoadModel {
    static final int SERVERS = 30;
    static final int SLOTS = 8;
    static final double SERVICE_MILLIS = 20;
    static final double ONE_WAY_MILLIS = 1;
    static final long DEADLINE_MILLIS = 1_000;

    private static final ServiceId SERVICE = ServiceId.of("despacho");

    int hosts = 8;
    double seconds = 8;
    double load = 0.8;
    int slowServers;
    double slowFactor = 5;
    int maxWaiting = Integer.MAX_VALUE;
    boolean skewedArrivals;
    RoutingSettings settings = RoutingSettings.defaults();

    /** Number of servers that neither receive requests nor send responses during the fault. */
    int faultyServers;

    double faultStartMillis = 2_000;
    double faultEndMillis = 4_000;

    /** Fraction of the arrivals of each customer; all customers have the same weight. */
    double[] arrivalShares = {1};

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<RequestRouter> routers = new ArrayList<>();
    private final Map<String, SimulatedServer> servers = new HashMap<>();
    private final Map<String, SimulatedRequest> requests = new HashMap<>();
    private final Map<String, Integer> outcomes = new HashMap<>();
    private SplittableRandom random;
    private double nowMillis;
    private long sequence;
    private double[] latencies = new double[1 << 20];
    private int answeredCount;
    private int arrivedCount;
    private int firstAttempts;
    private int retries;
    private int[] answeredByCustomer;
    private int[] answeredBySecond = new int[64];

    private record Event(double atMillis, long sequence, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** A simulated request. */
    private static final class SimulatedRequest {
        private int customer;
        private double arrivalMillis;
        private double serviceMillis;
    }

    /** A simulated backend server. */
    private static final class SimulatedServer {
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private double slowdown = 1;
        private int busySlots;
    }

    /** Latencies and goodput of a run. */
    record Result(
            double p50,
            double p99,
            double p999,
            double goodput,
            double retryRatio,
            double[] shares,
            double[] goodputPerSecond,
            Map<String, Integer> outcomes) {
        @Override
        public String toString() {
            return String.format(
                    "p50 %5.0f  p99 %5.0f  p99.9 %5.0f ms  goodput %3.0f%%  retries %4.1f%% %s",
                    p50, p99, p999, goodput * 100, retryRatio * 100, outcomes);
        }
    }

    /** Simulates the policy of the settings. */
    Result run(long seed) {
        random = new SplittableRandom(seed);
        answeredByCustomer = new int[arrivalShares.length];
        List<BackendInfo> backends = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            SimulatedServer server = new SimulatedServer();
            server.slowdown = i < slowServers ? slowFactor : 1;
            servers.put("b" + i, server);
            backends.add(
                    new BackendInfo(
                            BackendId.of("b" + i),
                            SERVICE,
                            DataCentreId.of("xela"),
                            "altiplano",
                            SLOTS,
                            64,
                            BackendState.LIVE));
        }
        List<CustomerInfo> customers = new ArrayList<>();
        for (int i = 0; i < arrivalShares.length; i++) {
            CustomerId id = CustomerId.of("c" + i);
            customers.add(new CustomerInfo(id, 100, 1_000_000, 1_000_000, Set.of()));
        }
        for (int i = 0; i < hosts; i++) {
            RequestRouter router =
                    new RequestRouter(
                            DataCentreId.of("xela"), "altiplano", settings, random.split());
            routers.add(router);
            router.updateCustomers(0, customers);
            router.updateEntryHosts(0, new EntryHosts(hosts, i));
            apply(router, router.updateBackends(0, backends));
            scheduleTick(router);
        }
        scheduleArrival();
        runEvents();
        return result();
    }

    /** Simulates the ideal case of a single queue for all slots, without delayed information. */
    Result runIdeal(long seed) {
        random = new SplittableRandom(seed);
        answeredByCustomer = new int[arrivalShares.length];
        PriorityQueue<Double> slotFreeMillis = new PriorityQueue<>();
        for (int i = 0; i < SERVERS * SLOTS; i++) {
            slotFreeMillis.add(0.0);
        }
        for (double at = interarrivalMillis(); at < seconds * 1000; at += interarrivalMillis()) {
            arrivedCount++;
            double requestMillis = serviceMillis();
            double end = Math.max(at, slotFreeMillis.peek()) + requestMillis;
            if (slotFreeMillis.peek() < at + DEADLINE_MILLIS / 2.0) {
                slotFreeMillis.poll();
                slotFreeMillis.add(end);
                recordAnswer(0, end + 2 * ONE_WAY_MILLIS - at);
            }
        }
        return result();
    }

    private void runEvents() {
        while (!events.isEmpty() && events.peek().atMillis <= seconds * 1000) {
            Event event = events.poll();
            nowMillis = event.atMillis;
            event.action.run();
        }
    }

    private void schedule(double millis, Runnable run) {
        events.add(new Event(nowMillis + millis, sequence++, run));
    }

    private double interarrivalMillis() {
        double arrivalsPerMilli = load * SERVERS * SLOTS / SERVICE_MILLIS;
        return -Math.log(1 - random.nextDouble()) / arrivalsPerMilli;
    }

    private double serviceMillis() {
        return -Math.log(1 - random.nextDouble()) * SERVICE_MILLIS;
    }

    private void scheduleArrival() {
        schedule(
                interarrivalMillis(),
                () -> {
                    SimulatedRequest request = new SimulatedRequest();
                    request.arrivalMillis = nowMillis;
                    request.serviceMillis = serviceMillis();
                    double sample = random.nextDouble();
                    while (sample > arrivalShares[request.customer]
                            && request.customer < arrivalShares.length - 1) {
                        sample -= arrivalShares[request.customer++];
                    }
                    String id = "r" + arrivedCount++;
                    requests.put(id, request);
                    // A skewed load balancer sends three times the load of the other hosts to the
                    // first one.
                    int host = random.nextInt(skewedArrivals ? hosts + 2 : hosts);
                    RequestRouter router = routers.get(host >= hosts ? 0 : host);
                    RequestInfo info =
                            new RequestInfo(
                                    id,
                                    CustomerId.of("c" + request.customer),
                                    SERVICE,
                                    RequestKind.IDEMPOTENT,
                                    Optional.empty(),
                                    (long) nowMillis + DEADLINE_MILLIS);
                    apply(router, router.onRequest((long) nowMillis, info));
                    scheduleArrival();
                });
    }

    private void scheduleTick(RequestRouter router) {
        schedule(
                10,
                () -> {
                    apply(router, router.onTick((long) nowMillis));
                    scheduleTick(router);
                });
    }

    private void apply(RequestRouter router, List<RoutingAction> actions) {
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Connect connect) {
                schedule(
                        2 * ONE_WAY_MILLIS,
                        () ->
                                apply(
                                        router,
                                        router.onConnected(
                                                (long) nowMillis, connect.connection())));
            } else if (action instanceof RoutingAction.Forward forward) {
                firstAttempts += forward.attempt() == 1 ? 1 : 0;
                retries += forward.attempt() == 1 ? 0 : 1;
                schedule(ONE_WAY_MILLIS, () -> startService(router, forward));
            } else if (action instanceof RoutingAction.Finish finish) {
                finish(finish);
            }
        }
    }

    private void finish(RoutingAction.Finish finish) {
        SimulatedRequest request = requests.remove(finish.request());
        String code = finish.outcome().code();
        if (finish.outcome() instanceof Outcome.Answered) {
            recordAnswer(request.customer, nowMillis - request.arrivalMillis);
        } else if (finish.outcome() instanceof Outcome.NotRun notRun) {
            code = notRun.reason().code();
        }
        outcomes.merge(code, 1, Integer::sum);
    }

    private boolean isFaulty(BackendId backend) {
        return nowMillis >= faultStartMillis
                && nowMillis < faultEndMillis
                && Integer.parseInt(backend.value().substring(1)) < faultyServers;
    }

    private void recordAnswer(int customer, double millis) {
        answeredBySecond[(int) (nowMillis / 1000)]++;
        answeredByCustomer[customer]++;
        if (answeredCount < latencies.length) {
            latencies[answeredCount++] = millis;
        }
    }

    private void startService(RequestRouter router, RoutingAction.Forward forward) {
        if (isFaulty(forward.backend())) {
            return;
        }
        SimulatedServer server = servers.get(forward.backend().value());
        if (server.busySlots >= SLOTS && server.waiting.size() >= maxWaiting) {
            schedule(ONE_WAY_MILLIS, () -> reply(router, forward, BackendResponse.notRun(0)));
            return;
        }
        SimulatedRequest request = requests.get(forward.request());
        double requestMillis =
                (request == null ? serviceMillis() : request.serviceMillis) * server.slowdown;
        Runnable startRequest =
                () -> {
                    server.busySlots++;
                    schedule(
                            requestMillis,
                            () -> {
                                server.busySlots--;
                                if (!server.waiting.isEmpty()) {
                                    server.waiting.poll().run();
                                }
                                schedule(
                                        ONE_WAY_MILLIS,
                                        () -> reply(router, forward, BackendResponse.of(200)));
                            });
                };
        if (server.busySlots < SLOTS) {
            startRequest.run();
        } else {
            server.waiting.add(startRequest);
        }
    }

    private void reply(
            RequestRouter router, RoutingAction.Forward forward, BackendResponse response) {
        apply(
                router,
                router.onResponse(
                        (long) nowMillis, forward.request(), forward.attempt(), response));
    }

    private Result result() {
        double[] sortedLatencies = Arrays.copyOf(latencies, answeredCount);
        Arrays.sort(sortedLatencies);
        double capacity = 0;
        for (int i = 0; i < SERVERS; i++) {
            capacity += SLOTS / SERVICE_MILLIS / (i < slowServers ? slowFactor : 1);
        }
        double[] shares = new double[arrivalShares.length];
        for (int i = 0; i < arrivalShares.length; i++) {
            shares[i] = answeredByCustomer[i] / (capacity * seconds * 1000);
        }
        double[] perSecond = new double[(int) seconds];
        for (int i = 0; i < perSecond.length; i++) {
            perSecond[i] = answeredBySecond[i] / (capacity * 1000);
        }
        return new Result(
                sortedLatencies[answeredCount / 2],
                sortedLatencies[answeredCount * 99 / 100],
                sortedLatencies[(int) (answeredCount * 999L / 1000)],
                answeredCount / (capacity * seconds * 1000),
                firstAttempts == 0 ? 0 : retries / (double) firstAttempts,
                shares,
                perSecond,
                outcomes);
    }
}
