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
 * Discrete-event model of entry hosts and backend servers with slots, for comparing policies. Times
 * are in milliseconds. A server queues what exceeds its slots and finishes abandoned work, too.
 */
final class LoadModel {
    static final int SERVERS = 30;
    static final int SLOTS = 8;
    static final double SERVICE_MILLIS = 20;
    static final double WAY_MILLIS = 1;
    static final long DEADLINE_MILLIS = 1_000;

    private static final ServiceId SERVICE = ServiceId.of("despacho");

    int hosts = 8;
    double seconds = 8;
    double load = 0.8;
    int slowServers;
    double slowFactor = 5;
    int refuseBeyond = Integer.MAX_VALUE;
    boolean skewed;
    RoutingSettings settings = RoutingSettings.defaults();

    /** Servers that receive and answer nothing during the fault. */
    int faultyServers;

    double faultStart = 2_000;
    double faultEnd = 4_000;

    /** Part of the arrivals for each customer; all have the same weight. */
    double[] mix = {1};

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<RequestRouter> routers = new ArrayList<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, Integer> outcomes = new HashMap<>();
    private SplittableRandom random;
    private double now;
    private long sequence;
    private double[] latencies = new double[1 << 20];
    private int answered;
    private int offered;
    private int forwards;
    private int retries;
    private int[] answeredOf;
    private int[] answeredIn = new int[64];

    private record Event(double at, long sequence, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** A request of the model. */
    private static final class Job {
        private int customer;
        private double arrived;
        private double work;
    }

    /** A backend server of the model. */
    private static final class Server {
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private double factor = 1;
        private int busy;
    }

    /** Figures of a run. */
    record Figures(
            double p50,
            double p99,
            double p999,
            double goodput,
            double extra,
            double[] shares,
            double[] perSecond,
            Map<String, Integer> outcomes) {
        @Override
        public String toString() {
            return String.format(
                    "p50 %5.0f  p99 %5.0f  p99.9 %5.0f ms  goodput %3.0f%%  retries %4.1f%% %s",
                    p50, p99, p999, goodput * 100, extra * 100, outcomes);
        }
    }

    /** Runs the policy of the settings. */
    Figures run(long seed) {
        random = new SplittableRandom(seed);
        answeredOf = new int[mix.length];
        List<BackendInfo> backends = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server();
            server.factor = i < slowServers ? slowFactor : 1;
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
        for (int i = 0; i < mix.length; i++) {
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
            tick(router);
        }
        arrive();
        loop();
        return figures();
    }

    /** Runs one queue in front of all slots, without any knowledge being late. */
    Figures runIdeal(long seed) {
        random = new SplittableRandom(seed);
        answeredOf = new int[mix.length];
        PriorityQueue<Double> free = new PriorityQueue<>();
        for (int i = 0; i < SERVERS * SLOTS; i++) {
            free.add(0.0);
        }
        for (double at = gap(); at < seconds * 1000; at += gap()) {
            offered++;
            double work = work();
            double end = Math.max(at, free.peek()) + work;
            if (free.peek() < at + DEADLINE_MILLIS / 2.0) {
                free.poll();
                free.add(end);
                answer(0, end + 2 * WAY_MILLIS - at);
            }
        }
        return figures();
    }

    private void loop() {
        while (!events.isEmpty() && events.peek().at <= seconds * 1000) {
            Event event = events.poll();
            now = event.at;
            event.run.run();
        }
    }

    private void later(double millis, Runnable run) {
        events.add(new Event(now + millis, sequence++, run));
    }

    private double gap() {
        double perMilli = load * SERVERS * SLOTS / SERVICE_MILLIS;
        return -Math.log(1 - random.nextDouble()) / perMilli;
    }

    private double work() {
        return -Math.log(1 - random.nextDouble()) * SERVICE_MILLIS;
    }

    private void arrive() {
        later(
                gap(),
                () -> {
                    Job job = new Job();
                    job.arrived = now;
                    job.work = work();
                    double drawn = random.nextDouble();
                    while (drawn > mix[job.customer] && job.customer < mix.length - 1) {
                        drawn -= mix[job.customer++];
                    }
                    String id = "r" + offered++;
                    jobs.put(id, job);
                    // A skewed balancer gives the first host three times the load of the others.
                    int host = random.nextInt(skewed ? hosts + 2 : hosts);
                    RequestRouter router = routers.get(host >= hosts ? 0 : host);
                    RequestInfo info =
                            new RequestInfo(
                                    id,
                                    CustomerId.of("c" + job.customer),
                                    SERVICE,
                                    RequestKind.IDEMPOTENT,
                                    Optional.empty(),
                                    (long) now + DEADLINE_MILLIS);
                    apply(router, router.offer((long) now, info));
                    arrive();
                });
    }

    private void tick(RequestRouter router) {
        later(
                10,
                () -> {
                    apply(router, router.onTick((long) now));
                    tick(router);
                });
    }

    private void apply(RequestRouter router, List<RoutingAction> actions) {
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Connect connect) {
                later(
                        2 * WAY_MILLIS,
                        () -> apply(router, router.onConnected((long) now, connect.connection())));
            } else if (action instanceof RoutingAction.Forward forward) {
                forwards += forward.attempt() == 1 ? 1 : 0;
                retries += forward.attempt() == 1 ? 0 : 1;
                later(WAY_MILLIS, () -> serve(router, forward));
            } else if (action instanceof RoutingAction.Finish finish) {
                finish(finish);
            }
        }
    }

    private void finish(RoutingAction.Finish finish) {
        Job job = jobs.remove(finish.request());
        String code = finish.outcome().code();
        if (finish.outcome() instanceof Outcome.Answered) {
            answer(job.customer, now - job.arrived);
        } else if (finish.outcome() instanceof Outcome.NotRun notRun) {
            code = notRun.reason().code();
        }
        outcomes.merge(code, 1, Integer::sum);
    }

    private boolean isFaulty(BackendId backend) {
        return now >= faultStart
                && now < faultEnd
                && Integer.parseInt(backend.value().substring(1)) < faultyServers;
    }

    private void answer(int customer, double millis) {
        answeredIn[(int) (now / 1000)]++;
        answeredOf[customer]++;
        if (answered < latencies.length) {
            latencies[answered++] = millis;
        }
    }

    private void serve(RequestRouter router, RoutingAction.Forward forward) {
        if (isFaulty(forward.backend())) {
            return;
        }
        Server server = servers.get(forward.backend().value());
        if (server.busy >= SLOTS && server.waiting.size() >= refuseBeyond) {
            later(WAY_MILLIS, () -> reply(router, forward, Reply.notRun(0)));
            return;
        }
        Job job = jobs.get(forward.request());
        double work = (job == null ? work() : job.work) * server.factor;
        Runnable start =
                () -> {
                    server.busy++;
                    later(
                            work,
                            () -> {
                                server.busy--;
                                if (!server.waiting.isEmpty()) {
                                    server.waiting.poll().run();
                                }
                                later(WAY_MILLIS, () -> reply(router, forward, Reply.of(200)));
                            });
                };
        if (server.busy < SLOTS) {
            start.run();
        } else {
            server.waiting.add(start);
        }
    }

    private void reply(RequestRouter router, RoutingAction.Forward forward, Reply reply) {
        apply(router, router.onReply((long) now, forward.request(), forward.attempt(), reply));
    }

    private Figures figures() {
        double[] sorted = Arrays.copyOf(latencies, answered);
        Arrays.sort(sorted);
        double capacity = 0;
        for (int i = 0; i < SERVERS; i++) {
            capacity += SLOTS / SERVICE_MILLIS / (i < slowServers ? slowFactor : 1);
        }
        double[] shares = new double[mix.length];
        for (int i = 0; i < mix.length; i++) {
            shares[i] = answeredOf[i] / (capacity * seconds * 1000);
        }
        double[] perSecond = new double[(int) seconds];
        for (int i = 0; i < perSecond.length; i++) {
            perSecond[i] = answeredIn[i] / (capacity * 1000);
        }
        return new Figures(
                sorted[answered / 2],
                sorted[answered * 99 / 100],
                sorted[(int) (answered * 999L / 1000)],
                answered / (capacity * seconds * 1000),
                forwards == 0 ? 0 : retries / (double) forwards,
                shares,
                perSecond,
                outcomes);
    }
}
