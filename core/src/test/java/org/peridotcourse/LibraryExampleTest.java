package org.peridotcourse;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.peridotcourse.routing.BackendInfo;
import org.peridotcourse.routing.BackendResponse;
import org.peridotcourse.routing.BackendState;
import org.peridotcourse.routing.CustomerInfo;
import org.peridotcourse.routing.Outcome;
import org.peridotcourse.routing.RequestInfo;
import org.peridotcourse.routing.RequestKind;
import org.peridotcourse.routing.RequestRouter;
import org.peridotcourse.routing.RoutingAction;
import org.peridotcourse.routing.RoutingSettings;

/** Guards against an example in the package documentation that no longer compiles or works. */
class LibraryExampleTest {
    private static final DataCentreId XELA = DataCentreId.of("xela");
    private static final CustomerId TALLER = CustomerId.of("taller-norte");
    private static final ServiceId DESPACHO = ServiceId.of("despacho");

    @Test
    void routesRequestWithoutTheDaemon() {
        RequestRouter router =
                new RequestRouter(XELA, "altiplano", RoutingSettings.defaults(), new Random(1));
        BackendInfo backend =
                new BackendInfo(
                        BackendId.of("b1"), DESPACHO, XELA, "altiplano", 8, 64, BackendState.LIVE);
        Deque<RoutingAction> actions = new ArrayDeque<>();
        actions.addAll(
                router.updateCustomers(
                        0, List.of(new CustomerInfo(TALLER, 100, 10, 1000, Set.of()))));
        actions.addAll(router.updateBackends(0, List.of(backend)));
        RequestInfo request =
                new RequestInfo(
                        "r1", TALLER, DESPACHO, RequestKind.IDEMPOTENT, Optional.empty(), 2_000);
        actions.addAll(router.onRequest(1, request));

        List<Outcome> outcomes = new ArrayList<>();
        while (!actions.isEmpty()) {
            RoutingAction action = actions.poll();
            if (action instanceof RoutingAction.Connect connect) {
                actions.addAll(router.onConnected(2, connect.connection()));
            } else if (action instanceof RoutingAction.Forward forward) {
                actions.addAll(
                        router.onResponse(
                                20, forward.request(), forward.attempt(), BackendResponse.of(200)));
            } else if (action instanceof RoutingAction.Finish finish) {
                outcomes.add(finish.outcome());
            }
        }

        assertEquals(List.of(new Outcome.Answered(false)), outcomes);
    }
}
