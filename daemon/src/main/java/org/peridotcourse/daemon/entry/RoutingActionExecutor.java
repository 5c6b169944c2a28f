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
 * Executes the router's actions and reports the results of connections to it. Confined to the
 * router thread.
 */
final class RoutingActionExecutor implements BackendConnections.Listener {
    private static final long NOT_READY_RETRY_AFTER_MILLIS = 1_000;

    private final RouterThread routerThread;
    private final RequestRouter router;
    private final RequestKeyStore keys;
    private final EntryMetrics metrics;
    private final EventLog log;
    private final Consumer<BackendId> leavingListener;

    RoutingActionExecutor(
            RouterThread routerThread,
            RequestRouter router,
            RequestKeyStore keys,
            EntryMetrics metrics,
            EventLog log,
            Consumer<BackendId> leavingListener) {
        this.routerThread = routerThread;
        this.router = router;
        this.keys = keys;
        this.metrics = metrics;
        this.log = log;
        this.leavingListener = leavingListener;
    }

    /** Executes actions in order; finished requests are removed after the last one. */
    void run(List<RoutingAction> actions) {
        List<String> finished = new ArrayList<>(1);
        for (RoutingAction action : actions) {
            if (action instanceof RoutingAction.Connect connect) {
                routerThread.backendConnections().connect(connect.connection(), connect.backend());
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
                        new RequestKeyStore.Claim(
                                release.request(), release.customer(), release.key(), ""));
            } else if (action instanceof RoutingAction.StoreResponse store) {
                pendingRequest(store.request())
                        .ifPresent(
                                pending ->
                                        pending.reply()
                                                .ifPresent(
                                                        reply ->
                                                                keys.store(
                                                                        pending.claim(), reply)));
            }
        }
        finished.forEach(routerThread.pendingRequests()::remove);
    }

    /** Refuses a request that was not passed to the router. */
    void refuse(CallerRequest request, Caller caller, Failure reason, long startNanos) {
        log.event(RequestEvent.REQUEST_REFUSED)
                .with("request", request.id())
                .with("reason", reason.code())
                .forSubject(request.id())
                .write();
        metrics.countFinished(
                request.kind(),
                "not-run",
                reason.code(),
                routerThread.now(),
                System.nanoTime() - startNanos);
        caller.respond(
                reason instanceof NotRunReason notRunReason
                        ? Responses.notRun(
                                request.id(),
                                notRunReason,
                                notRunReason.isRetryUseful() ? NOT_READY_RETRY_AFTER_MILLIS : 0)
                        : Responses.refusal(
                                request.id(),
                                503,
                                "not-run",
                                reason,
                                NOT_READY_RETRY_AFTER_MILLIS));
    }

    @Override
    public void onConnected(long connection, BackendId backend) {
        log.event(RequestEvent.CONNECTION_OPENED)
                .with("backend", backend)
                .with("connection", connection)
                .write();
        routerThread.runActions(router.onConnected(routerThread.now(), connection));
    }

    @Override
    public void onConnectFailed(long connection, BackendId backend) {
        log.event(RequestEvent.CONNECTION_REFUSED)
                .with("backend", backend)
                .with("connection", connection)
                .write();
        routerThread.runActions(router.onConnectFailed(routerThread.now(), connection));
    }

    @Override
    public void onIdleClosed(long connection, BackendId backend) {
        routerThread.runActions(router.onConnectionClosed(routerThread.now(), connection));
    }

    @Override
    public void onBytes(long connection) {
        router.onResponseBytes(routerThread.now(), connection);
    }

    @Override
    public void onResponse(BackendConnections.Attempt attempt, HttpReply reply, boolean reusable) {
        Optional<String> echo = reply.header(Headers.REQUEST);
        if (!echo.equals(Optional.of(attempt.request()))) {
            metrics.countCrossedResponse();
            log.event(RequestEvent.RESPONSE_CROSSED)
                    .with("request", attempt.request())
                    .with("found", echo.orElse("none"))
                    .with("backend", attempt.backend())
                    .with("connection", attempt.connection())
                    .forSubject(attempt.request())
                    .write();
            routerThread.backendConnections().close(attempt.connection());
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
        pendingRequest(attempt.request()).ifPresent(pending -> pending.setReply(reply));
        routerThread.runActions(
                router.onResponse(
                        routerThread.now(),
                        attempt.request(),
                        attempt.number(),
                        new BackendResponse(
                                reply.status(),
                                notRun,
                                notRun ? retryAfterMillis(reply) : 0,
                                leaving,
                                reusable)));
    }

    @Override
    public void onAttemptFailed(
            BackendConnections.Attempt attempt, ChannelFailure failure, boolean partial) {
        boolean broken = partial || failure == ChannelFailure.BROKEN_ANSWER;
        if (broken) {
            metrics.countIncompleteResponse();
        }
        log.event(RequestEvent.ATTEMPT_FAILED)
                .with("request", attempt.request())
                .with("attempt", attempt.number())
                .with("connection", attempt.connection())
                .with("failure", failure.code())
                .with("handedOver", failure.mayHaveBeenSent())
                .forSubject(attempt.request())
                .write();
        failAttempt(
                attempt,
                broken ? AttemptFailure.RESPONSE_BROKEN : AttemptFailure.CONNECTION_LOST,
                failure.mayHaveBeenSent());
    }

    private void failAttempt(
            BackendConnections.Attempt attempt, AttemptFailure failure, boolean handedOver) {
        routerThread.runActions(
                router.onAttemptFailed(
                        routerThread.now(),
                        attempt.request(),
                        attempt.number(),
                        failure,
                        handedOver));
    }

    private void forward(RoutingAction.Forward forward) {
        Optional<PendingRequest> pending = pendingRequest(forward.request());
        if (pending.isEmpty()) {
            return;
        }
        metrics.countForwarded();
        log.event(RequestEvent.REQUEST_ROUTED)
                .with("request", forward.request())
                .with("attempt", forward.attempt())
                .with("backend", forward.backend())
                .with("connection", forward.connection())
                .forSubject(forward.request())
                .write();
        routerThread
                .backendConnections()
                .send(
                        new BackendConnections.Attempt(
                                forward.request(),
                                forward.attempt(),
                                forward.connection(),
                                forward.backend()),
                        pending.get().toCall(routerThread.now()));
    }

    private void close(RoutingAction.CloseConnection close) {
        log.event(RequestEvent.CONNECTION_CLOSED)
                .with("backend", close.backend())
                .with("connection", close.connection())
                .with("reason", close.reason())
                .write();
        routerThread.backendConnections().close(close.connection());
    }

    private void claim(String request) {
        Optional<PendingRequest> pending = pendingRequest(request);
        if (pending.isPresent() && !keys.claim(pending.get().claim())) {
            metrics.countRingFull("keys");
            routerThread.onClaimResult(request, ClaimResult.STORE_UNAVAILABLE, Optional.empty());
        }
    }

    private void finish(RoutingAction.Finish finish) {
        Optional<PendingRequest> found = pendingRequest(finish.request());
        if (found.isEmpty()) {
            return;
        }
        PendingRequest pending = found.get();
        String id = finish.request();
        long nanos = System.nanoTime() - pending.startNanos();
        CallerResponse response;
        String reason = "none";
        EventLog.Line line;
        if (finish.outcome() instanceof Outcome.NotRun notRun) {
            reason = notRun.reason().code();
            response = Responses.notRun(id, notRun.reason(), notRun.retryAfterMillis());
            line =
                    log.event(RequestEvent.REQUEST_REFUSED)
                            .with("request", id)
                            .with("reason", reason)
                            .with("retryAfter", notRun.retryAfterMillis());
        } else if (finish.outcome() instanceof Outcome.Unknown unknown) {
            reason = unknown.reason().code();
            response = Responses.unknown(id, unknown.reason());
            pending.request().key().ifPresent(key -> keys.forget(id));
            line =
                    log.event(RequestEvent.REQUEST_UNSETTLED)
                            .with("request", id)
                            .with("reason", reason);
        } else {
            boolean stored = ((Outcome.Answered) finish.outcome()).stored();
            response =
                    stored
                            ? pending.storedResponse().orElseThrow()
                            : Responses.fromBackend(id, pending.reply().orElseThrow());
            line =
                    log.event(RequestEvent.REQUEST_ANSWERED)
                            .with("request", id)
                            .with("status", response.status())
                            .with("stored", stored);
        }
        line.with("millis", nanos / 1_000_000).forSubject(id).write();
        metrics.countFinished(
                pending.request().kind(),
                finish.outcome().code(),
                reason,
                routerThread.now(),
                nanos);
        pending.caller().respond(response);
    }

    private Optional<PendingRequest> pendingRequest(String request) {
        return Optional.ofNullable(routerThread.pendingRequests().get(request));
    }

    private static long retryAfterMillis(HttpReply reply) {
        Optional<String> millis = reply.header(Headers.RETRY_AFTER_MS).filter(Responses::isNumber);
        if (millis.isPresent()) {
            return Long.parseLong(millis.get());
        }
        return reply.header("Retry-After")
                .filter(Responses::isNumber)
                .map(seconds -> Long.parseLong(seconds) * 1000)
                .orElse(0L);
    }
}
