package org.peridotcourse.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.peridotcourse.BackendId;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.ServiceId;
import org.peridotcourse.routing.BackendInfo;
import org.peridotcourse.routing.BackendResponse;
import org.peridotcourse.routing.BackendState;
import org.peridotcourse.routing.CustomerInfo;
import org.peridotcourse.routing.EntryHosts;
import org.peridotcourse.routing.RequestInfo;
import org.peridotcourse.routing.RequestKind;
import org.peridotcourse.routing.RequestRouter;
import org.peridotcourse.routing.RoutingAction;
import org.peridotcourse.routing.RoutingSettings;

/** Runs the router of one entry host. Backend servers respond to each request after 5 ms. */
final class RouterBench {
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc-1");
    private static final int CUSTOMERS = 440;
    private static final int SERVERS_PER_SERVICE = 45;

    private final RequestRouter router;
    private final int services;
    private final Queue<RoutingAction.Forward> forwarded = new ArrayDeque<>();
    private long now = 1_000;
    private long requests;
    private boolean serversAnswer = true;

    /** Creates a router for a number of backend servers, shared by a number of entry hosts. */
    RouterBench(int servers, int entryHosts) {
        services = Math.max(1, servers / SERVERS_PER_SERVICE);
        router = new RequestRouter(DATA_CENTRE, "r-1", RoutingSettings.defaults(), new Random(1));
        router.updateEntryHosts(now, new EntryHosts(entryHosts, 0));
        List<CustomerInfo> customers = new ArrayList<>();
        for (int i = 0; i < CUSTOMERS; i++) {
            customers.add(
                    new CustomerInfo(
                            CustomerId.of("customer-" + i), 100, 100_000, 1_000_000, Set.of()));
        }
        router.updateCustomers(now, customers);
        List<BackendInfo> backends = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            int dataCentre = 1 + i / services % 5;
            backends.add(
                    new BackendInfo(
                            BackendId.of("backend-" + i),
                            ServiceId.of("service-" + i % services),
                            DataCentreId.of("dc-" + dataCentre),
                            dataCentre <= 3 ? "r-1" : "r-2",
                            8,
                            64,
                            BackendState.LIVE));
        }
        execute(router.updateBackends(now, backends));
    }

    /** Returns the average CPU time per request over a number of requests, in microseconds. */
    double cpuMicrosPerRequest(int count) {
        ResourceMeter meter = new ResourceMeter();
        meter.measure(() -> processRequests(count));
        return meter.cpuMicros() / count;
    }

    private int processRequests(int count) {
        for (int i = 0; i < count; i++) {
            addRequest();
            if (i % 5 == 4) {
                now += 5;
                answerAll();
            }
            if (i % 10 == 9) {
                execute(router.onTick(now));
            }
        }
        now += 5;
        answerAll();
        return count;
    }

    /** Adds a number of requests while no server responds and returns the queue length. */
    int queueRequests(int count) {
        serversAnswer = false;
        for (int i = 0; i < count; i++) {
            addRequest();
        }
        return router.queuedCount();
    }

    private void addRequest() {
        long number = requests++;
        // Services and customers are selected with different strides, so that all pairs occur.
        RequestInfo info =
                new RequestInfo(
                        "daemon-1-" + number,
                        CustomerId.of("customer-" + number % CUSTOMERS),
                        ServiceId.of("service-" + number % services),
                        RequestKind.IDEMPOTENT,
                        Optional.empty(),
                        now + 60_000);
        execute(router.onRequest(now, info));
    }

    private void answerAll() {
        for (int left = forwarded.size(); left > 0; left--) {
            RoutingAction.Forward forward = forwarded.remove();
            execute(
                    router.onResponse(
                            now, forward.request(), forward.attempt(), BackendResponse.of(200)));
        }
    }

    private void execute(List<RoutingAction> actions) {
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Connect connect && serversAnswer) {
                execute(router.onConnected(now, connect.connection()));
            } else if (action instanceof RoutingAction.Forward forward) {
                forwarded.add(forward);
            }
        }
    }
}
