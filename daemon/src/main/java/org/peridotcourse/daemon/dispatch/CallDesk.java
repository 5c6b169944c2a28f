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
final class CallDesk implements CallSink {
    /** Time for another host to answer a call that was passed on. */
    private static final long FORWARD_TIMEOUT_MILLIS = 1_000;

    /** Hosts that are tried for one call. */
    private static final int FORWARDS = 2;

    /** Pause before a call that may have taken effect is repeated. */
    private static final long SETTLE_PAUSE_MILLIS = 250;

    /** Share of the caller's time in which an open outcome is settled; the rest is for a repeat. */
    private static final double SETTLE_SHARE = 0.6;

    /** Time of callers that name none. */
    private static final long USUAL_CALLER_MILLIS = 3_000;

    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Why a call is passed on that this host cannot judge. */
    private static final JobDesk.Away UNDECIDED = new JobDesk.Away(StoreTrouble.OUTDATED, false);

    private final EventLoop loop;
    private final HostParts parts;
    private final ConfigWatch config;
    private final Admission admission;
    private final JobDesk jobs;
    private final PeerLink peers;
    private final HostDirectory directory;
    private final OwnerElection election;
    private final Set<Handling> open = new HashSet<>();

    /** The size of {@link #open}, which other threads read. */
    private volatile int outstanding;

    private boolean stopping;
    private int nextPeer;

    CallDesk(
            HostParts parts,
            ConfigWatch config,
            JobDesk jobs,
            PeerLink peers,
            HostDirectory directory,
            OwnerElection election) {
        this.loop = parts.loop();
        this.parts = parts;
        this.config = config;
        this.admission = new Admission(config::config, config.age(), parts.format()::apiKey);
        this.jobs = jobs;
        this.peers = peers;
        this.directory = directory;
        this.election = election;
    }

    /** One call until it is answered. */
    private final class Handling {
        final IncomingCall call;
        final Caller caller;
        final long since = loop.now();
        final boolean forwarded;
        final long settleUntil;

        /** Set once the call is understood. */
        Admission.Admitted admitted;

        /** Set once the call is understood. */
        JobRequest request;

        String queue = "";
        String job = "";
        String kind = "";
        String via = "store";

        /** True if an earlier try may have taken effect. */
        boolean inDoubt;

        /** True while the store or another host has the call. */
        boolean handedOver;

        boolean answered;

        int repeats;

        Handling(IncomingCall call, Caller caller) {
            this.call = call;
            this.caller = caller;
            this.forwarded = call.header(PeerLink.FORWARDED.toLowerCase(Locale.ROOT)).isPresent();
            long callerMillis = parts.format().callerMillis(call).orElse(USUAL_CALLER_MILLIS);
            this.settleUntil = since + Math.round(SETTLE_SHARE * callerMillis);
        }

        /** Tells whether another try may still settle an open outcome; other hosts only report. */
        boolean maySettle() {
            boolean understood = request != null;
            return understood
                    && inDoubt
                    && !forwarded
                    && loop.now() + SETTLE_PAUSE_MILLIS < settleUntil;
        }

        void answer(JobAnswer answer) {
            finish(parts.format().response(answer), answer.getClass().getSimpleName());
        }

        /** Tells the caller what is known by now. */
        void cutShort() {
            answer(new JobDesk.Away(StoreTrouble.NO_ANSWER, inDoubt || handedOver).toAnswer());
        }

        void finish(CallerAnswer response, String name) {
            if (answered) {
                return;
            }
            answered = true;
            open.remove(this);
            outstanding = open.size();
            caller.answer(response);
            long millis = loop.now() - since;
            parts.metrics().call(kind, name.toLowerCase(Locale.ROOT), millis);
            parts.log()
                    .event(DispatchEvent.CALL_ANSWERED)
                    .with("request", call.id())
                    .with("job", job)
                    .with("queue", queue)
                    .with("call", kind)
                    .with("answer", name)
                    .with("status", response.status())
                    .with("config", config.config().version())
                    .with("via", via)
                    .with("repeats", repeats)
                    .with("millis", millis)
                    .write();
        }
    }

    @Override
    public boolean submit(IncomingCall call, Caller caller) {
        return loop.offer(() -> handle(call, caller));
    }

    /** Returns the number of calls without an answer. */
    int outstanding() {
        return outstanding;
    }

    /**
     * Answers all calls, also those that arrive from now on, since connections are about to be
     * closed.
     */
    void stop() {
        stopping = true;
        List.copyOf(open).forEach(Handling::cutShort);
    }

    private void handle(IncomingCall call, Caller caller) {
        Handling handling = new Handling(call, caller);
        open.add(handling);
        outstanding = open.size();
        handling.kind = call.method().toLowerCase(Locale.ROOT);
        if (stopping) {
            handling.cutShort();
            return;
        }
        Admission.Verdict verdict = admission.judge(call, loop.now());
        if (verdict instanceof Admission.Admitted admitted) {
            onAdmitted(handling, admitted);
        } else if (verdict instanceof Admission.Rejected rejected) {
            handling.answer(rejected.answer());
        } else {
            forward(handling, peersFor(handling), UNDECIDED);
        }
    }

    private void onAdmitted(Handling handling, Admission.Admitted admitted) {
        ClusterConfig.Route route = admitted.route();
        handling.queue = route.queue().name();
        Result<JobRequest> request = parts.format().request(handling.call, route.prefix());
        if (!(request instanceof Result.Ok<JobRequest> ok)) {
            handling.answer(new JobAnswer.Malformed(request.failure().orElseThrow().message()));
            return;
        }
        handling.admitted = admitted;
        handling.request = ok.value();
        name(handling, ok.value());
        carryOut(handling);
    }

    private static void name(Handling handling, JobRequest request) {
        handling.kind = request.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        if (request instanceof JobRequest.Submit submit) {
            handling.job = submit.id();
        } else if (request instanceof JobRequest.Show show) {
            handling.job = show.id();
        } else if (request instanceof JobRequest.Cancel cancel) {
            handling.job = cancel.id();
        }
    }

    private void carryOut(Handling handling) {
        if (handling.answered) {
            return;
        }
        boolean needsStore = !(handling.request instanceof JobRequest.CountPending);
        List<InetSocketAddress> others = peersFor(handling);
        if (needsStore && parts.health().isAway()) {
            // A try would hold the call, and leave a job in doubt that need not be sent.
            JobDesk.Away away = new JobDesk.Away(StoreTrouble.UNREACHABLE, false);
            forward(handling, others, away);
            return;
        }
        handling.handedOver = true;
        jobs.handle(
                handling.admitted,
                handling.request,
                outcome -> {
                    handling.handedOver = false;
                    if (outcome instanceof JobDesk.Answered answered) {
                        handling.answer(answered.answer());
                    } else {
                        handling.inDoubt |= ((JobDesk.Away) outcome).mayHaveEffect();
                        forward(handling, others, (JobDesk.Away) outcome);
                    }
                });
    }

    private List<InetSocketAddress> peersFor(Handling handling) {
        return handling.forwarded ? List.of() : candidates();
    }

    /** The owner first, since it probably reaches the store; then others in turn. */
    private List<InetSocketAddress> candidates() {
        List<InetSocketAddress> chosen = new ArrayList<>();
        if (!election.isOwner()) {
            election.ownerName().flatMap(directory::holderAddress).ifPresent(chosen::add);
        }
        List<InetSocketAddress> others = directory.responsive(loop.now());
        for (int i = 0; i < others.size() && chosen.size() < FORWARDS; i++) {
            InetSocketAddress other = others.get(Math.floorMod(nextPeer++, others.size()));
            if (!chosen.contains(other)) {
                chosen.add(other);
            }
        }
        return chosen;
    }

    private void forward(Handling handling, List<InetSocketAddress> others, JobDesk.Away away) {
        if (handling.answered) {
            return;
        }
        if (others.isEmpty()) {
            giveUpOrRepeat(handling, away);
            return;
        }
        InetSocketAddress peer = others.get(0);
        List<InetSocketAddress> rest = others.subList(1, others.size());
        Runnable next = () -> forward(handling, rest, away);
        handling.via = peer.getHostString();
        parts.log()
                .event(DispatchEvent.CALL_FORWARDED)
                .with("request", handling.call.id())
                .with("job", handling.job)
                .with("peer", peer.getHostString())
                .with("reason", away.trouble().code())
                .write();
        handling.handedOver = true;
        peers.forward(
                peer,
                handling.call,
                config.config().version(),
                FORWARD_TIMEOUT_MILLIS,
                new PeerLink.Forwarded() {
                    @Override
                    public void onAnswer(CallerAnswer answer) {
                        handling.handedOver = false;
                        directory.onHeard(peer);
                        handling.inDoubt |= answer.status() == GATEWAY_TIMEOUT;
                        if (isOpen(handling, answer.status())) {
                            next.run();
                        } else {
                            handling.finish(answer, "forwarded");
                        }
                    }

                    @Override
                    public void onFailure(ChannelFailure failure) {
                        handling.handedOver = false;
                        directory.onSilent(peer, loop.now());
                        handling.inDoubt |= failure.isHandedOver();
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
    private static boolean isOpen(Handling handling, int status) {
        boolean refused = status >= BAD_REQUEST && status != CONFLICT && status != GONE;
        return status == SERVICE_UNAVAILABLE
                || status == GATEWAY_TIMEOUT
                || handling.inDoubt && refused;
    }

    /** A call that may have taken effect is repeated, which the store makes harmless. */
    private void giveUpOrRepeat(Handling handling, JobDesk.Away away) {
        if (!handling.maySettle()) {
            handling.answer(new JobDesk.Away(away.trouble(), handling.inDoubt).toAnswer());
            return;
        }
        handling.via = "store";
        handling.repeats++;
        loop.after(SETTLE_PAUSE_MILLIS, () -> carryOut(handling));
    }
}
