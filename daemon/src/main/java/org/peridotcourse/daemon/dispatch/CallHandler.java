package org.peridotcourse.daemon.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.entry.CallSink;
import org.peridotcourse.daemon.entry.Caller;
import org.peridotcourse.daemon.entry.CallerResponse;
import org.peridotcourse.daemon.entry.IncomingCall;
import org.peridotcourse.daemon.http.ChannelFailure;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.ClusterConfig;

/**
 * Handles the calls of callers, and forwards them to another host while this one cannot reach the
 * store or cannot decide on their admission. {@link #submit} and {@link #activeCallCount} are
 * thread-safe; all else is confined to the event loop.
 */
final class CallHandler implements CallSink {
    /** Time for another host to answer a forwarded call. */
    private static final long FORWARD_TIMEOUT_MILLIS = 1_000;

    /** The largest number of hosts to which one call is forwarded. */
    private static final int MAX_FORWARDS = 2;

    /** Delay before a call that may have taken effect is retried. */
    private static final long RETRY_DELAY_MILLIS = 250;

    /**
     * Share of the caller's time-out in which a call of unknown outcome is retried here; the rest
     * is left for a retry by the caller.
     */
    private static final double RETRY_TIME_SHARE = 0.6;

    /** Time-out that is assumed for calls that do not contain one. */
    private static final long DEFAULT_CALLER_TIMEOUT_MILLIS = 3_000;

    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Failure with which a call is forwarded if this host cannot decide on its admission. */
    private static final JobRequestHandler.Failed NO_CONFIRMED_CONFIG =
            new JobRequestHandler.Failed(RowStoreFailure.OUTDATED, false);

    private final EventLoop loop;
    private final HostComponents components;
    private final ConfigTracker config;
    private final Admission admission;
    private final JobRequestHandler jobRequests;
    private final PeerHostClient peerClient;
    private final HostDirectory directory;
    private final OwnerElection election;
    private final Set<ActiveCall> activeCalls = new HashSet<>();

    /** The size of {@link #activeCalls}, read by other threads. */
    private volatile int activeCallCount;

    private boolean stopping;
    private int nextPeer;

    CallHandler(
            HostComponents components,
            ConfigTracker config,
            JobRequestHandler jobRequests,
            PeerHostClient peerClient,
            HostDirectory directory,
            OwnerElection election) {
        this.loop = components.loop();
        this.components = components;
        this.config = config;
        this.admission =
                new Admission(config::config, config.configAge(), components.format()::apiKey);
        this.jobRequests = jobRequests;
        this.peerClient = peerClient;
        this.directory = directory;
        this.election = election;
    }

    /** A call that is not yet answered. */
    private final class ActiveCall {
        final IncomingCall call;
        final Caller caller;
        final long startedAt = loop.nowMillis();
        final boolean forwarded;
        final long retryUntil;

        /** Set once the call is admitted and parsed. */
        Admission.Admitted admitted;

        /** Set once the call is admitted and parsed. */
        JobRequest request;

        String queueName = "";
        String jobId = "";
        String kind = "";
        String via = "store";

        /** True if an earlier attempt may have taken effect. */
        boolean mayHaveTakenEffect;

        /** True while the store or another host is processing the call. */
        boolean inProgress;

        boolean answered;

        int retries;

        ActiveCall(IncomingCall call, Caller caller) {
            this.call = call;
            this.caller = caller;
            this.forwarded =
                    call.header(PeerHostClient.FORWARDED_HEADER.toLowerCase(Locale.ROOT))
                            .isPresent();
            long callerMillis =
                    components
                            .format()
                            .callerTimeoutMillis(call)
                            .orElse(DEFAULT_CALLER_TIMEOUT_MILLIS);
            this.retryUntil = startedAt + Math.round(RETRY_TIME_SHARE * callerMillis);
        }

        /**
         * Returns whether a call of unknown outcome may be retried. Only the host that received the
         * call from the caller retries.
         */
        boolean mayRetry() {
            boolean parsed = request != null;
            return parsed
                    && mayHaveTakenEffect
                    && !forwarded
                    && loop.nowMillis() + RETRY_DELAY_MILLIS < retryUntil;
        }

        void answer(JobAnswer answer) {
            finish(components.format().response(answer), answer.getClass().getSimpleName());
        }

        /**
         * Answers with the outcome as known so far, without waiting for the store or another host.
         */
        void answerImmediately() {
            answer(
                    new JobRequestHandler.Failed(
                                    RowStoreFailure.NO_ANSWER, mayHaveTakenEffect || inProgress)
                            .toAnswer());
        }

        void finish(CallerResponse response, String name) {
            if (answered) {
                return;
            }
            answered = true;
            activeCalls.remove(this);
            activeCallCount = activeCalls.size();
            caller.respond(response);
            long millis = loop.nowMillis() - startedAt;
            components.metrics().recordCall(kind, name.toLowerCase(Locale.ROOT), millis);
            components
                    .log()
                    .event(DispatchEvent.CALL_ANSWERED)
                    .with("request", call.id())
                    .with("job", jobId)
                    .with("queue", queueName)
                    .with("call", kind)
                    .with("answer", name)
                    .with("status", response.status())
                    .with("config", config.config().version())
                    .with("via", via)
                    .with("repeats", retries)
                    .with("millis", millis)
                    .write();
        }
    }

    @Override
    public boolean submit(IncomingCall call, Caller caller) {
        return loop.offer(() -> handle(call, caller));
    }

    /** Returns the number of calls without an answer. */
    int activeCallCount() {
        return activeCallCount;
    }

    /**
     * Answers all calls at once, also those that arrive from now on, since connections are about to
     * be closed.
     */
    void stop() {
        stopping = true;
        List.copyOf(activeCalls).forEach(ActiveCall::answerImmediately);
    }

    private void handle(IncomingCall call, Caller caller) {
        ActiveCall activeCall = new ActiveCall(call, caller);
        activeCalls.add(activeCall);
        activeCallCount = activeCalls.size();
        activeCall.kind = call.method().toLowerCase(Locale.ROOT);
        if (stopping) {
            activeCall.answerImmediately();
            return;
        }
        Admission.Decision decision = admission.decide(call, loop.nowMillis());
        if (decision instanceof Admission.Admitted admitted) {
            onAdmitted(activeCall, admitted);
        } else if (decision instanceof Admission.Rejected rejected) {
            activeCall.answer(rejected.answer());
        } else {
            forward(activeCall, peersFor(activeCall), NO_CONFIRMED_CONFIG);
        }
    }

    private void onAdmitted(ActiveCall activeCall, Admission.Admitted admitted) {
        ClusterConfig.Route route = admitted.route();
        activeCall.queueName = route.queue().name();
        Result<JobRequest> request = components.format().request(activeCall.call, route.prefix());
        if (!(request instanceof Result.Ok<JobRequest> ok)) {
            activeCall.answer(new JobAnswer.Malformed(request.failure().orElseThrow().message()));
            return;
        }
        activeCall.admitted = admitted;
        activeCall.request = ok.value();
        setCallNames(activeCall, ok.value());
        execute(activeCall);
    }

    private static void setCallNames(ActiveCall activeCall, JobRequest request) {
        activeCall.kind = request.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        if (request instanceof JobRequest.Submit submit) {
            activeCall.jobId = submit.id();
        } else if (request instanceof JobRequest.Show show) {
            activeCall.jobId = show.id();
        } else if (request instanceof JobRequest.Cancel cancel) {
            activeCall.jobId = cancel.id();
        }
    }

    private void execute(ActiveCall activeCall) {
        if (activeCall.answered) {
            return;
        }
        boolean needsStore = !(activeCall.request instanceof JobRequest.CountPending);
        List<InetSocketAddress> remainingPeers = peersFor(activeCall);
        if (needsStore && components.health().isUnavailable()) {
            // An attempt would delay the call until its time-out and leave its outcome unknown.
            JobRequestHandler.Failed failed =
                    new JobRequestHandler.Failed(RowStoreFailure.UNREACHABLE, false);
            forward(activeCall, remainingPeers, failed);
            return;
        }
        activeCall.inProgress = true;
        jobRequests.execute(
                activeCall.admitted,
                activeCall.request,
                outcome -> {
                    activeCall.inProgress = false;
                    if (outcome instanceof JobRequestHandler.Answered answered) {
                        activeCall.answer(answered.answer());
                    } else {
                        activeCall.mayHaveTakenEffect |=
                                ((JobRequestHandler.Failed) outcome).mayHaveTakenEffect();
                        forward(activeCall, remainingPeers, (JobRequestHandler.Failed) outcome);
                    }
                });
    }

    private List<InetSocketAddress> peersFor(ActiveCall activeCall) {
        return activeCall.forwarded ? List.of() : forwardCandidates();
    }

    /**
     * Returns the owner first, since it probably reaches the store, then other hosts by round
     * robin.
     */
    private List<InetSocketAddress> forwardCandidates() {
        List<InetSocketAddress> candidates = new ArrayList<>();
        if (!election.isOwner()) {
            election.ownerName().flatMap(directory::holderAddress).ifPresent(candidates::add);
        }
        List<InetSocketAddress> hosts = directory.responsiveHosts(loop.nowMillis());
        for (int i = 0; i < hosts.size() && candidates.size() < MAX_FORWARDS; i++) {
            InetSocketAddress host = hosts.get(Math.floorMod(nextPeer++, hosts.size()));
            if (!candidates.contains(host)) {
                candidates.add(host);
            }
        }
        return candidates;
    }

    private void forward(
            ActiveCall activeCall,
            List<InetSocketAddress> remainingPeers,
            JobRequestHandler.Failed failed) {
        if (activeCall.answered) {
            return;
        }
        if (remainingPeers.isEmpty()) {
            retryOrFail(activeCall, failed);
            return;
        }
        InetSocketAddress peer = remainingPeers.get(0);
        List<InetSocketAddress> otherPeers = remainingPeers.subList(1, remainingPeers.size());
        Runnable next = () -> forward(activeCall, otherPeers, failed);
        activeCall.via = peer.getHostString();
        components
                .log()
                .event(DispatchEvent.CALL_FORWARDED)
                .with("request", activeCall.call.id())
                .with("job", activeCall.jobId)
                .with("peer", peer.getHostString())
                .with("reason", failed.cause().code())
                .write();
        activeCall.inProgress = true;
        peerClient.forward(
                peer,
                activeCall.call,
                config.config().version(),
                FORWARD_TIMEOUT_MILLIS,
                new PeerHostClient.ForwardListener() {
                    @Override
                    public void onResponse(CallerResponse response) {
                        activeCall.inProgress = false;
                        directory.onAnswered(peer);
                        activeCall.mayHaveTakenEffect |= response.status() == GATEWAY_TIMEOUT;
                        if (needsFurtherAttempt(activeCall, response.status())) {
                            next.run();
                        } else {
                            activeCall.finish(response, "forwarded");
                        }
                    }

                    @Override
                    public void onFailure(ChannelFailure failure) {
                        activeCall.inProgress = false;
                        directory.onUnanswered(peer, loop.nowMillis());
                        activeCall.mayHaveTakenEffect |= failure.mayHaveBeenSent();
                        components
                                .log()
                                .event(DispatchEvent.HOST_UNREACHABLE)
                                .with("peer", peer.getHostString())
                                .with("reason", failure.code())
                                .write();
                        next.run();
                    }
                });
    }

    /**
     * Returns whether a call needs a further attempt after the response of another host. A
     * rejection does not show whether an earlier attempt took effect.
     */
    private static boolean needsFurtherAttempt(ActiveCall activeCall, int status) {
        boolean rejected = status >= BAD_REQUEST && status != CONFLICT && status != GONE;
        return status == SERVICE_UNAVAILABLE
                || status == GATEWAY_TIMEOUT
                || activeCall.mayHaveTakenEffect && rejected;
    }

    /**
     * Retries a call that may have taken effect, which is harmless since the writes to the store
     * are conditional; fails other calls.
     */
    private void retryOrFail(ActiveCall activeCall, JobRequestHandler.Failed failed) {
        if (!activeCall.mayRetry()) {
            activeCall.answer(
                    new JobRequestHandler.Failed(failed.cause(), activeCall.mayHaveTakenEffect)
                            .toAnswer());
            return;
        }
        activeCall.via = "store";
        activeCall.retries++;
        loop.schedule(RETRY_DELAY_MILLIS, () -> execute(activeCall));
    }
}
