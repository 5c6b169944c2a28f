package org.peridotcourse.daemon.placement;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import org.peridotcourse.WorkerId;
import org.peridotcourse.daemon.http.ChannelException;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.http.ChannelFailure;
import org.peridotcourse.daemon.http.HttpCall;
import org.peridotcourse.daemon.http.HttpChannel;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.placement.PlacementAction.FetchReport;
import org.peridotcourse.placement.PlacementAction.SendCommands;
import org.peridotcourse.placement.PlacementEvent;

/**
 * Sends commands and report requests to workers, one at a time over one kept connection each.
 *
 * <p>A call without an answer in time fails and its connection is closed, so a late answer is never
 * taken for that of a later call. Confined to the placement thread, except that answers arrive on
 * selector threads and only reach the callback.
 */
final class WorkerCalls {
    private static final long TIMEOUT_MILLIS = 2_000;

    private static final int CONFLICT = 409;

    private final ChannelFactory channels;
    private final String group;
    private final ToLongFunction<SendCommands> allowedUntil;
    private final LongSupplier clock;
    private final Consumer<Answered> answers;
    private final EventLog log;
    private final Map<WorkerId, Link> links = new HashMap<>();
    private final Set<WorkerId> unreachable = new HashSet<>();

    /**
     * Creates the calls to the workers of one data centre.
     *
     * @param allowedUntil tells until when commands may leave; asked from any thread
     */
    WorkerCalls(
            ChannelFactory channels,
            String group,
            ToLongFunction<SendCommands> allowedUntil,
            LongSupplier clock,
            Consumer<Answered> answers,
            EventLog log) {
        this.channels = channels;
        this.group = group;
        this.allowedUntil = allowedUntil;
        this.clock = clock;
        this.answers = answers;
        this.log = log;
    }

    /** The result of a call; without a reply it failed. */
    record Answered(Call call, Optional<HttpReply> reply, String failure) {}

    /** A call and the time when it fails. */
    static final class Call {
        final WorkerId worker;
        final HttpCall http;
        final Optional<SendCommands> commands;
        final Optional<FetchReport> report;
        volatile long deadline;

        Call(SendCommands send, HttpCall http) {
            this.worker = send.worker();
            this.http = http;
            this.commands = Optional.of(send);
            this.report = Optional.empty();
        }

        Call(FetchReport fetch, HttpCall http) {
            this.worker = fetch.worker();
            this.http = http;
            this.commands = Optional.empty();
            this.report = Optional.of(fetch);
        }
    }

    /** The connection to a worker with its waiting calls. */
    private static final class Link {
        final List<Call> waiting = new ArrayList<>(2);
        volatile InetSocketAddress address;
        volatile HttpChannel channel;
        volatile Call active;
    }

    /** Replaces the addresses of the workers and drops connections of absent ones. */
    void addresses(Map<WorkerId, InetSocketAddress> addresses) {
        addresses.forEach(
                (worker, address) -> {
                    Link link = links.computeIfAbsent(worker, key -> new Link());
                    if (!address.equals(link.address)) {
                        synchronized (link) {
                            close(link);
                            link.address = address;
                        }
                    }
                });
        for (Iterator<Map.Entry<WorkerId, Link>> it = links.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<WorkerId, Link> entry = it.next();
            Link link = entry.getValue();
            if (!addresses.containsKey(entry.getKey())
                    && link.active == null
                    && link.waiting.isEmpty()) {
                close(link);
                it.remove();
            }
        }
    }

    void send(long nowMillis, SendCommands send) {
        HttpCall http = HttpCall.json("POST", "/v1/commands", WorkerJson.commands(group, send));
        enqueue(nowMillis, new Call(send, http));
    }

    void fetch(long nowMillis, FetchReport fetch) {
        enqueue(nowMillis, new Call(fetch, HttpCall.get("/v1/report")));
    }

    /**
     * Fails calls whose time is over. The results do not pass the ring, because a full ring would
     * leave a worker without calls for ever.
     */
    List<PlacementEvent> expire(long nowMillis) {
        List<Answered> late = new ArrayList<>();
        for (Link link : links.values()) {
            Call call = link.active;
            if (call != null && nowMillis >= call.deadline) {
                call.deadline = Long.MAX_VALUE;
                close(link);
                late.add(new Answered(call, Optional.empty(), ChannelFailure.TIMED_OUT.code()));
            }
        }
        List<PlacementEvent> events = new ArrayList<>(late.size());
        late.forEach(answered -> finish(nowMillis, answered).ifPresent(events::add));
        return events;
    }

    /**
     * Takes a result on the placement thread; returns the event for the owner, if it is current.
     */
    Optional<PlacementEvent> finish(long nowMillis, Answered answered) {
        Call call = answered.call();
        Link link = links.get(call.worker);
        if (link == null || link.active != call) {
            return Optional.empty();
        }
        link.active = null;
        note(answered);
        PlacementEvent event = toEvent(answered);
        next(nowMillis, call.worker, link);
        return Optional.of(event);
    }

    void close() {
        links.values().forEach(WorkerCalls::close);
    }

    private void enqueue(long nowMillis, Call call) {
        Link link = links.computeIfAbsent(call.worker, key -> new Link());
        link.waiting.add(call);
        if (link.active == null) {
            next(nowMillis, call.worker, link);
        }
    }

    private void next(long nowMillis, WorkerId worker, Link link) {
        if (link.waiting.isEmpty()) {
            return;
        }
        Call call = link.waiting.remove(0);
        link.active = call;
        call.deadline = nowMillis + TIMEOUT_MILLIS;
        if (link.address == null) {
            fail(call, ChannelFailure.CONNECT_FAILED);
        } else if (link.channel != null && link.channel.isIdle()) {
            dispatch(link.channel, call);
        } else {
            connect(link, call);
        }
    }

    private void connect(Link link, Call call) {
        InetSocketAddress address = link.address;
        channels.connect(address)
                .whenComplete(
                        (channel, error) -> {
                            if (error != null) {
                                fail(call, ChannelFailure.CONNECT_FAILED);
                            } else {
                                adopt(link, address, channel, call);
                            }
                        });
    }

    /** Runs on a selector thread; a call that timed out meanwhile must not be sent any more. */
    private void adopt(Link link, InetSocketAddress address, HttpChannel channel, Call call) {
        boolean moved;
        synchronized (link) {
            if (link.active != call || call.deadline == Long.MAX_VALUE) {
                channel.close();
                return;
            }
            moved = !address.equals(link.address);
            if (!moved) {
                link.channel = channel;
            }
        }
        if (moved) {
            channel.close();
            fail(call, ChannelFailure.CONNECT_FAILED);
        } else {
            dispatch(channel, call);
        }
    }

    private void dispatch(HttpChannel channel, Call call) {
        // The process may have been paused, or the call may have waited, since the decision.
        boolean allowed =
                call.commands
                        .map(send -> clock.getAsLong() < allowedUntil.applyAsLong(send))
                        .orElse(true);
        if (!allowed) {
            fail(call, ChannelFailure.CLOSED_BEFORE_SEND);
            return;
        }
        channel.send(call.http)
                .whenComplete(
                        (reply, error) -> {
                            if (error == null) {
                                answers.accept(new Answered(call, Optional.of(reply), ""));
                            } else if (error instanceof ChannelException known) {
                                fail(call, known.failure());
                            } else {
                                fail(call, ChannelFailure.BROKEN_ANSWER);
                            }
                        });
    }

    private void fail(Call call, ChannelFailure failure) {
        answers.accept(new Answered(call, Optional.empty(), failure.code()));
    }

    private static void close(Link link) {
        synchronized (link) {
            if (link.channel != null) {
                link.channel.close();
                link.channel = null;
            }
        }
    }

    private void note(Answered answered) {
        WorkerId worker = answered.call().worker;
        if (answered.reply().isPresent()) {
            if (unreachable.remove(worker)) {
                log.event(PlacementLogEvent.WORKER_REACHABLE).with("worker", worker).write();
            }
        } else if (!answered.failure().equals(ChannelFailure.CLOSED_BEFORE_SEND.code())
                && unreachable.add(worker)) {
            log.event(PlacementLogEvent.WORKER_UNREACHABLE)
                    .with("worker", worker)
                    .with("call", answered.call().http.target())
                    .with("failure", answered.failure())
                    .write();
        }
    }

    private static PlacementEvent toEvent(Answered answered) {
        Call call = answered.call();
        Optional<HttpReply> whole = answered.reply().filter(reply -> reply.status() == 200);
        if (call.commands.isPresent()) {
            SendCommands send = call.commands.get();
            boolean stale =
                    answered.reply().filter(reply -> reply.status() == CONFLICT).isPresent();
            return whole.flatMap(reply -> WorkerJson.answer(send, reply.body()))
                    .orElseGet(
                            () ->
                                    new PlacementEvent.CommandsFailed(
                                            call.worker, send.number(), stale));
        }
        long number = call.report.orElseThrow().number();
        return whole.flatMap(reply -> WorkerJson.report(call.worker, reply.body()))
                .<PlacementEvent>map(report -> new PlacementEvent.ReportReceived(number, report))
                .orElseGet(() -> new PlacementEvent.ReportFailed(call.worker, number));
    }
}
