package org.peridotcourse.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.peridotcourse.BackendId;
import org.peridotcourse.Failure;
import org.peridotcourse.daemon.http.ChannelFailure;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.routing.AttemptFailure;
import org.peridotcourse.routing.BackendResponse;
import org.peridotcourse.routing.ClaimResult;
import org.peridotcourse.routing.NotRunReason;
import org.peridotcourse.routing.Outcome;
import org.peridotcourse.routing.RequestRouter;
import org.peridotcourse.routing.RoutingAction;

/**
 * Carries out the router's actions and tells it the results of connections. Confined to the router
 * thread.
 */
final class RequestActions implements BackendLinks.Listener {
    private static final long UNREADY_RETRY_MILLIS = 1_000;

    private final RouterDuty duty;
    private final RequestRouter router;
    private final KeyPort keys;
    private final EntryMetrics metrics;
    private final EventLog log;
    private final Consumer<BackendId> leavingListener;

    RequestActions(
            RouterDuty duty,
            RequestRouter router,
            KeyPort keys,
            EntryMetrics metrics,
            EventLog log,
            Consumer<BackendId> leavingListener) {
        this.duty = duty;
        this.router = router;
        this.keys = keys;
        this.metrics = metrics;
        this.log = log;
        this.leavingListener = leavingListener;
    }

    /** Carries out actions in their order; finished requests are forgotten after the last one. */
    void run(List<RoutingAction> actions) {
        List<String> finished = new ArrayList<>(1);
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Connect connect) {
                duty.links().connect(connect.connection(), connect.backend());
            } else if (action instanceof RoutingAction.Forward forward) {
                forward(forward);
            } else if (action instanceof RoutingAction.CloseConnection close) {
                close(close);
            } else if (action instanceof RoutingAction.Finish finish) {
                finish(finish);
                finished.add(finish.request());
            } else if (action instanceof RoutingAction.ClaimKey claim) {
                claim(claim.request());
            } else if (action instanceof RoutingAction.ReleaseKey release) {
                keys.release(
                        new KeyPort.Claim(
                                release.request(), release.customer(), release.key(), ""));
            } else if (action instanceof RoutingAction.StoreResponse store) {
                held(store.request())
                        .ifPresent(
                                one ->
                                        one.reply()
                                                .ifPresent(
                                                        reply -> keys.store(one.claim(), reply)));
            }
        }
        finished.forEach(duty.heldRequests()::remove);
    }

    /** Refuses a request that the router never saw. */
    void refuse(CallerRequest request, Caller caller, Failure reason, long startNanos) {
        log.event(RequestEvent.REFUSED)
                .with("request", request.id())
                .with("reason", reason.code())
                .about(request.id())
                .write();
        metrics.finished(
                request.kind(),
                "not-run",
                reason.code(),
                duty.now(),
                System.nanoTime() - startNanos);
        caller.answer(
                reason instanceof NotRunReason known
                        ? Answers.notRun(
                                request.id(),
                                known,
                                known.isRetryUseful() ? UNREADY_RETRY_MILLIS : 0)
                        : Answers.refusal(
                                request.id(), 503, "not-run", reason, UNREADY_RETRY_MILLIS));
    }

    @Override
    public void connected(long connection, BackendId backend) {
        log.event(RequestEvent.CONNECTED)
                .with("backend", backend)
                .with("connection", connection)
                .write();
        duty.run(router.onConnected(duty.now(), connection));
    }

    @Override
    public void connectFailed(long connection, BackendId backend) {
        log.event(RequestEvent.CONNECT_FAILED)
                .with("backend", backend)
                .with("connection", connection)
                .write();
        duty.run(router.onConnectFailed(duty.now(), connection));
    }

    @Override
    public void idleClosed(long connection, BackendId backend) {
        duty.run(router.onConnectionClosed(duty.now(), connection));
    }

    @Override
    public void bytes(long connection) {
        router.onResponseBytes(duty.now(), connection);
    }

    @Override
    public void replied(BackendLinks.Attempt attempt, HttpReply reply, boolean reusable) {
        Optional<String> echo = reply.header(Headers.REQUEST);
        if (!echo.equals(Optional.of(attempt.request()))) {
            metrics.crossed();
            log.event(RequestEvent.CROSSED)
                    .with("request", attempt.request())
                    .with("found", echo.orElse("none"))
                    .with("backend", attempt.backend())
                    .with("connection", attempt.connection())
                    .about(attempt.request())
                    .write();
            duty.links().close(attempt.connection());
            failAttempt(attempt, AttemptFailure.RESPONSE_CROSSED, true);
            return;
        }
        boolean leaving = reply.header(Headers.LEAVING).filter("true"::equals).isPresent();
        if (leaving) {
            log.event(RequestEvent.BACKEND_LEAVING)
                    .with("backend", attempt.backend())
                    .with("request", attempt.request())
                    .write();
            leavingListener.accept(attempt.backend());
        }
        boolean notRun =
                reply.status() == 503
                        && reply.header(Headers.NOT_RUN).filter("true"::equals).isPresent();
        held(attempt.request()).ifPresent(one -> one.onReply(reply));
        duty.run(
                router.onResponse(
                        duty.now(),
                        attempt.request(),
                        attempt.number(),
                        new BackendResponse(
                                reply.status(),
                                notRun,
                                notRun ? retryAfter(reply) : 0,
                                leaving,
                                reusable)));
    }

    @Override
    public void failed(BackendLinks.Attempt attempt, ChannelFailure failure, boolean partial) {
        boolean broken = partial || failure == ChannelFailure.BROKEN_ANSWER;
        if (broken) {
            metrics.incomplete();
        }
        log.event(RequestEvent.ATTEMPT_FAILED)
                .with("request", attempt.request())
                .with("attempt", attempt.number())
                .with("connection", attempt.connection())
                .with("failure", failure.code())
                .with("handedOver", failure.isHandedOver())
                .about(attempt.request())
                .write();
        failAttempt(
                attempt,
                broken ? AttemptFailure.RESPONSE_BROKEN : AttemptFailure.CONNECTION_LOST,
                failure.isHandedOver());
    }

    private void failAttempt(
            BackendLinks.Attempt attempt, AttemptFailure failure, boolean handedOver) {
        duty.run(
                router.onAttemptFailed(
                        duty.now(), attempt.request(), attempt.number(), failure, handedOver));
    }

    private void forward(RoutingAction.Forward forward) {
        Optional<HeldRequest> one = held(forward.request());
        if (one.isEmpty()) {
            return;
        }
        metrics.forwarded();
        log.event(RequestEvent.ROUTED)
                .with("request", forward.request())
                .with("attempt", forward.attempt())
                .with("backend", forward.backend())
                .with("connection", forward.connection())
                .about(forward.request())
                .write();
        duty.links()
                .send(
                        new BackendLinks.Attempt(
                                forward.request(),
                                forward.attempt(),
                                forward.connection(),
                                forward.backend()),
                        one.get().toCall(duty.now()));
    }

    private void close(RoutingAction.CloseConnection close) {
        log.event(RequestEvent.CLOSED)
                .with("backend", close.backend())
                .with("connection", close.connection())
                .with("reason", close.reason())
                .write();
        duty.links().close(close.connection());
    }

    private void claim(String request) {
        Optional<HeldRequest> one = held(request);
        if (one.isPresent() && !keys.claim(one.get().claim())) {
            metrics.ringFull("keys");
            duty.onClaim(request, ClaimResult.STORE_UNAVAILABLE, Optional.empty());
        }
    }

    private void finish(RoutingAction.Finish finish) {
        Optional<HeldRequest> found = held(finish.request());
        if (found.isEmpty()) {
            return;
        }
        HeldRequest one = found.get();
        String id = finish.request();
        long nanos = System.nanoTime() - one.startNanos();
        CallerAnswer answer;
        String reason = "none";
        EventLog.Line line;
        if (finish.outcome() instanceof Outcome.NotRun notRun) {
            reason = notRun.reason().code();
            answer = Answers.notRun(id, notRun.reason(), notRun.retryAfterMillis());
            line =
                    log.event(RequestEvent.REFUSED)
                            .with("request", id)
                            .with("reason", reason)
                            .with("retryAfter", notRun.retryAfterMillis());
        } else if (finish.outcome() instanceof Outcome.Unknown unknown) {
            reason = unknown.reason().code();
            answer = Answers.unknown(id, unknown.reason());
            one.request().key().ifPresent(key -> keys.forget(id));
            line = log.event(RequestEvent.UNSETTLED).with("request", id).with("reason", reason);
        } else {
            boolean stored = ((Outcome.Answered) finish.outcome()).stored();
            answer =
                    stored
                            ? one.stored().orElseThrow()
                            : Answers.answered(id, one.reply().orElseThrow());
            line =
                    log.event(RequestEvent.ANSWERED)
                            .with("request", id)
                            .with("status", answer.status())
                            .with("stored", stored);
        }
        line.with("millis", nanos / 1_000_000).about(id).write();
        metrics.finished(one.request().kind(), finish.outcome().code(), reason, duty.now(), nanos);
        one.caller().answer(answer);
    }

    private Optional<HeldRequest> held(String request) {
        return Optional.ofNullable(duty.heldRequests().get(request));
    }

    private static long retryAfter(HttpReply reply) {
        Optional<String> millis = reply.header(Headers.RETRY_AFTER_MS).filter(Answers::isNumber);
        if (millis.isPresent()) {
            return Long.parseLong(millis.get());
        }
        return reply.header("Retry-After")
                .filter(Answers::isNumber)
                .map(seconds -> Long.parseLong(seconds) * 1000)
                .orElse(0L);
    }
}
