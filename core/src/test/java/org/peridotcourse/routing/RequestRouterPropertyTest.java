package org.peridotcourse.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.peridotcourse.BackendId;

/**
 * Guards against broken guarantees (P5 to P8, P12) under arbitrary orders of events. The harness
 * checks every action.
 */
class RequestRouterPropertyTest {
    private static final int EVENTS = 16;
    private static final List<ClaimResult> CLAIMS = List.of(ClaimResult.values());

    @Property(tries = 6000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void guaranteesHoldForAnyEvents(
            @ForAll @IntRange(min = 1, max = 4) int servers,
            @ForAll @Size(min = 10, max = 40) List<@IntRange(max = 1 << 20) Integer> events) {
        run(RoutingPolicy.GUARDED, servers, events);
    }

    @Property(tries = 1500, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
    void handOversAreSafeWithThePlainPolicyToo(
            @ForAll @IntRange(min = 1, max = 4) int servers,
            @ForAll @Size(min = 10, max = 40) List<@IntRange(max = 1 << 20) Integer> events) {
        run(RoutingPolicy.PLAIN, servers, events);
    }

    private static void run(RoutingPolicy policy, int servers, List<Integer> events) {
        // A budget of half makes retries common in short sequences. The plain policy has no limits,
        // so the harness gets bounds that it cannot reach.
        boolean plain = policy == RoutingPolicy.PLAIN;
        RoutingSettings settings =
                new RoutingSettings(policy, 2, plain ? 100_000 : 50, 1000, true, 0);
        int slots = plain ? 1000 : 2;
        RouterHarness harness = new RouterHarness(settings, servers, slots, plain ? 8000 : 8);
        for (int event : events) {
            step(harness, event % EVENTS, event / EVENTS, plain);
        }
        List<RouterHarness.Line> open = harness.busy();
        harness.tick(60_000);
        for (RouterHarness.Sent sent : harness.requests.values()) {
            assertNotNull(sent.outcome);
        }
        assertTrue(harness.busy().isEmpty(), "connections of ended requests stay open: " + open);
        assertEquals(0, harness.router.queuedCount());
        for (BackendStatus status : harness.router.backendStatus()) {
            assertEquals(0, status.inFlight() + status.watches(), "leaked slot: " + status);
        }
    }

    private static void step(RouterHarness harness, int event, int value, boolean plain) {
        switch (event) {
            case 0, 1, 2, 3 -> {
                RequestKind kind = RequestKind.values()[value % 3];
                harness.offer(kind, value / 3 % 4 == 0, 10 + value / 12 % 2000);
            }
            case 4, 5 -> pick(harness, value, line -> !line.open, harness::connected);
            case 6 -> pick(harness, value, line -> !line.open, harness::connectFailed);
            case 7, 8 ->
                    pick(harness, value, line -> line.sent != null, line -> reply(harness, line));
            case 9 ->
                    pick(
                            harness,
                            value,
                            line -> line.sent != null,
                            line -> harness.reply(line, Reply.notRun(value % 100)));
            case 10 ->
                    pick(
                            harness,
                            value,
                            line -> line.sent != null,
                            line -> harness.fail(line, value % 2 == 0));
            case 11 -> claim(harness, value);
            case 12 -> harness.tick(value % 10 == 0 ? value % 2000 : value % 400);
            case 13 -> backend(harness, value);
            case 14 -> other(harness, value, plain);
            default -> gone(harness, value);
        }
    }

    private static void pick(
            RouterHarness harness,
            int value,
            Predicate<RouterHarness.Line> test,
            java.util.function.Consumer<RouterHarness.Line> use) {
        List<RouterHarness.Line> fit = harness.lines.values().stream().filter(test).toList();
        if (!fit.isEmpty()) {
            use.accept(fit.get(value % fit.size()));
        }
    }

    private static void reply(RouterHarness harness, RouterHarness.Line line) {
        boolean leaving = harness.requests.size() % 7 == 0;
        boolean reusable = harness.requests.size() % 5 != 0;
        harness.reply(line, new Reply(200, false, 0, leaving, reusable));
    }

    private static void claim(RouterHarness harness, int value) {
        List<RouterHarness.Sent> claiming =
                harness.requests.values().stream()
                        .filter(sent -> sent.claiming && sent.outcome == null)
                        .toList();
        if (!claiming.isEmpty()) {
            // Half of the results are grants, so that keyed requests get further.
            ClaimResult result = CLAIMS.get(Math.max(0, value % 12 - 6));
            harness.claim(claiming.get(value % claiming.size()), result);
        }
    }

    private static void backend(RouterHarness harness, int value) {
        List<BackendId> ids = new ArrayList<>(harness.backends.keySet());
        BackendState state = BackendState.values()[value / 8 % 5 % 3];
        harness.state(ids.get(value % ids.size()), state);
    }

    private static void other(RouterHarness harness, int value, boolean plain) {
        if (value % 3 == 0 && !plain) {
            harness.hosts(new EntryHosts(1 + value / 3 % 4, value / 12 % 4));
        } else {
            pick(harness, value, line -> line.open && line.sent == null, harness::closed);
        }
    }

    /** Callers leave, and replies to attempts that are over arrive. */
    private static void gone(RouterHarness harness, int value) {
        List<RouterHarness.Sent> all = new ArrayList<>(harness.requests.values());
        if (all.isEmpty()) {
            return;
        }
        RouterHarness.Sent sent = all.get(value % all.size());
        if (value % 2 == 0) {
            harness.apply(harness.router.onCallerGone(harness.now, sent.info.id()));
        } else if (sent.attempt > 1 || sent.outcome != null) {
            int attempt = sent.outcome != null ? sent.attempt : 1;
            harness.apply(
                    harness.router.onReply(harness.now, sent.info.id(), attempt, Reply.of(200)));
        }
    }
}
