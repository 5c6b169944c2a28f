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
import org.peridotcourse.daemon.entry.CallerAnswer;
import org.peridotcourse.daemon.entry.IncomingCall;
import org.peridotcourse.daemon.http.ChannelFailure;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.ClusterConfig;

/**
 * Takes callers' calls and passes them on to another host while this one does not reach the store
 * or cannot judge them. {@link #submit} is thread-safe; all else is confined to the loop.
 */
final class CallHandler implements CallSink {
    /** Time for another host to answer a call that was passed on. */
    private static final long FORWARD_TIMEOUT_MILLIS = 1_000;

    /** Hosts that are tried for one call. */
    private static final int MAX_FORWARDS = 2;

    /** Pause before a call that may have taken effect is repeated. */
    private static final long RETRY_DELAY_MILLIS = 250;

    /** Share of the caller's time in which an open outcome is settled; the rest is for a repeat. */
    private static final double RETRY_TIME_SHARE = 0.6;

    /** Time of callers that name none. */
    private static final long DEFAULT_CALLER_TIMEOUT_MILLIS = 3_000;

    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Why a call is passed on that this host cannot judge. */
    private static final JobRequestHandler.Failed NO_CONFIRMED_CONFIG =
            new JobRequestHandler.Failed(RowStoreFailure.OUTDATED, false);

    private final EventLoop loop;
    private final HostComponents parts;
    private final ConfigTracker config;
    private final Admission admission;
    private final JobRequestHandler jobRequests;
    private final PeerHostClient peers;
    private final HostDirectory directory;
    private final OwnerElection election;
    private final Set<ActiveCall> activeCalls = new HashSet<>();

    /** The size of {@link #activeCalls}, which other threads read. */
    private volatile int activeCallCount;

    private boolean stopping;
    private int nextPeer;

    CallHandler(
            HostComponents parts,
            ConfigTracker config,
            JobRequestHandler jobs,
            PeerHostClient peers,
            HostDirectory directory,
            OwnerElection election) {
        this.loop = parts.loop();
        this.parts = parts;
        this.config = config;
        this.admission = new Admission(config::config, config.configAge(), parts.format()::apiKey);
        this.jobRequests = jobs;
        this.peers = peers;
        this.directory = directory;
        this.election = election;
    }

    /** One call until it is answered. */
    private final class ActiveCall {
        final IncomingCall call;
        final Caller caller;
        final long startedAt = loop.now();
        final boolean forwarded;
        final long retryUntil;

        /** Set once the call is understood. */
        Admission.Admitted admitted;

        /** Set once the call is understood. */
        JobRequest request;

        String queueName = "";
        String jobId = "";
        String kind = "";
        String via = "store";

        /** True if an earlier try may have taken effect. */
        boolean mayHaveTakenEffect;

        /** True while the store or another host has the call. */
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
                    parts.format().callerTimeoutMillis(call).orElse(DEFAULT_CALLER_TIMEOUT_MILLIS);
            this.retryUntil = startedAt + Math.round(RETRY_TIME_SHARE * callerMillis);
        }

        /** Tells whether another try may still settle an open outcome; other hosts only report. */
        boolean mayRetry() {
            boolean understood = request != null;
            return understood
                    && mayHaveTakenEffect
                    && !forwarded
                    && loop.now() + RETRY_DELAY_MILLIS < retryUntil;
        }

        void answer(JobAnswer answer) {
            finish(parts.format().response(answer), answer.getClass().getSimpleName());
        }

        /** Tells the caller what is known by now. */
        void answerImmediately() {
            answer(
                    new JobRequestHandler.Failed(
                                    RowStoreFailure.NO_ANSWER, mayHaveTakenEffect || inProgress)
                            .toAnswer());
        }

        void finish(CallerAnswer response, String name) {
            if (answered) {
                return;
            }
            answered = true;
            activeCalls.remove(this);
            activeCallCount = activeCalls.size();
            caller.answer(response);
            long millis = loop.now() - startedAt;
            parts.metrics().recordCall(kind, name.toLowerCase(Locale.ROOT), millis);
            parts.log()
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
     * Answers all calls, also those that arrive from now on, since connections are about to be
     * closed.
     */
    void stop() {
        stopping = true;
        List.copyOf(activeCalls).forEach(ActiveCall::answerImmediately);
    }

    private void handle(IncomingCall call, Caller caller) {
        ActiveCall handling = new ActiveCall(call, caller);
        activeCalls.add(handling);
        activeCallCount = activeCalls.size();
        handling.kind = call.method().toLowerCase(Locale.ROOT);
        if (stopping) {
            handling.answerImmediately();
            return;
        }
        Admission.Decision verdict = admission.decide(call, loop.now());
        if (verdict instanceof Admission.Admitted admitted) {
            onAdmitted(handling, admitted);
        } else if (verdict instanceof Admission.Rejected rejected) {
            handling.answer(rejected.answer());
        } else {
            forward(handling, peersFor(handling), NO_CONFIRMED_CONFIG);
        }
    }

    private void onAdmitted(ActiveCall handling, Admission.Admitted admitted) {
        ClusterConfig.Route route = admitted.route();
        handling.queueName = route.queue().name();
        Result<JobRequest> request = parts.format().request(handling.call, route.prefix());
        if (!(request instanceof Result.Ok<JobRequest> ok)) {
            handling.answer(new JobAnswer.Malformed(request.failure().orElseThrow().message()));
            return;
        }
        handling.admitted = admitted;
        handling.request = ok.value();
        setCallNames(handling, ok.value());
        execute(handling);
    }

    private static void setCallNames(ActiveCall handling, JobRequest request) {
        handling.kind = request.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        if (request instanceof JobRequest.Submit submit) {
            handling.jobId = submit.id();
        } else if (request instanceof JobRequest.Show show) {
            handling.jobId = show.id();
        } else if (request instanceof JobRequest.Cancel cancel) {
            handling.jobId = cancel.id();
        }
    }

    private void execute(ActiveCall handling) {
        if (handling.answered) {
            return;
        }
        boolean needsStore = !(handling.request instanceof JobRequest.CountPending);
        List<InetSocketAddress> others = peersFor(handling);
        if (needsStore && parts.health().isUnavailable()) {
            // A try would hold the call, and leave a job in doubt that need not be sent.
            JobRequestHandler.Failed away =
                    new JobRequestHandler.Failed(RowStoreFailure.UNREACHABLE, false);
            forward(handling, others, away);
            return;
        }
        handling.inProgress = true;
        jobRequests.execute(
                handling.admitted,
                handling.request,
                outcome -> {
                    handling.inProgress = false;
                    if (outcome instanceof JobRequestHandler.Answered answered) {
                        handling.answer(answered.answer());
                    } else {
                        handling.mayHaveTakenEffect |=
                                ((JobRequestHandler.Failed) outcome).mayHaveTakenEffect();
                        forward(handling, others, (JobRequestHandler.Failed) outcome);
                    }
                });
    }

    private List<InetSocketAddress> peersFor(ActiveCall handling) {
        return handling.forwarded ? List.of() : forwardCandidates();
    }

    /** The owner first, since it probably reaches the store; then others in turn. */
    private List<InetSocketAddress> forwardCandidates() {
        List<InetSocketAddress> chosen = new ArrayList<>();
        if (!election.isOwner()) {
            election.ownerName().flatMap(directory::holderAddress).ifPresent(chosen::add);
        }
        List<InetSocketAddress> others = directory.responsiveHosts(loop.now());
        for (int i = 0; i < others.size() && chosen.size() < MAX_FORWARDS; i++) {
            InetSocketAddress other = others.get(Math.floorMod(nextPeer++, others.size()));
            if (!chosen.contains(other)) {
                chosen.add(other);
            }
        }
        return chosen;
    }

    private void forward(
            ActiveCall handling, List<InetSocketAddress> others, JobRequestHandler.Failed away) {
        if (handling.answered) {
            return;
        }
        if (others.isEmpty()) {
            retryOrFail(handling, away);
            return;
        }
        InetSocketAddress peer = others.get(0);
        List<InetSocketAddress> rest = others.subList(1, others.size());
        Runnable next = () -> forward(handling, rest, away);
        handling.via = peer.getHostString();
        parts.log()
                .event(DispatchEvent.CALL_FORWARDED)
                .with("request", handling.call.id())
                .with("job", handling.jobId)
                .with("peer", peer.getHostString())
                .with("reason", away.cause().code())
                .write();
        handling.inProgress = true;
        peers.forward(
                peer,
                handling.call,
                config.config().version(),
                FORWARD_TIMEOUT_MILLIS,
                new PeerHostClient.ForwardListener() {
                    @Override
                    public void onAnswer(CallerAnswer answer) {
                        handling.inProgress = false;
                        directory.onAnswered(peer);
                        handling.mayHaveTakenEffect |= answer.status() == GATEWAY_TIMEOUT;
                        if (leavesCallOpen(handling, answer.status())) {
                            next.run();
                        } else {
                            handling.finish(answer, "forwarded");
                        }
                    }

                    @Override
                    public void onFailure(ChannelFailure failure) {
                        handling.inProgress = false;
                        directory.onUnanswered(peer, loop.now());
                        handling.mayHaveTakenEffect |= failure.isHandedOver();
                        parts.log()
                                .event(DispatchEvent.PEER_LOST)
                                .with("peer", peer.getHostString())
                                .with("reason", failure.code())
                                .write();
                        next.run();
                    }
                });
    }

    /**
     * Tells whether an answer of another host leaves a call open. A refusal says nothing about an
     * earlier try that may have taken effect.
     */
    private static boolean leavesCallOpen(ActiveCall handling, int status) {
        boolean refused = status >= BAD_REQUEST && status != CONFLICT && status != GONE;
        return status == SERVICE_UNAVAILABLE
                || status == GATEWAY_TIMEOUT
                || handling.mayHaveTakenEffect && refused;
    }

    /** A call that may have taken effect is repeated, which the store makes harmless. */
    private void retryOrFail(ActiveCall handling, JobRequestHandler.Failed away) {
        if (!handling.mayRetry()) {
            handling.answer(
                    new JobRequestHandler.Failed(away.cause(), handling.mayHaveTakenEffect)
                            .toAnswer());
            return;
        }
        handling.via = "store";
        handling.retries++;
        loop.after(RETRY_DELAY_MILLIS, () -> execute(handling));
    }
}
