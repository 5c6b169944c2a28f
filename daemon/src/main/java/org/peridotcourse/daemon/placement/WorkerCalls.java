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
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    private static final int CONFLICT = 409;

    private final ChannelFactory channels;
    private final String group;
    private final ToLongFunction<SendCommands> sendAllowedUntil;
    private final LongSupplier clock;
    private final Consumer<Answered> resultCallback;
    private final EventLog log;
    private final Map<WorkerId, WorkerConnection> connections = new HashMap<>();
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
        this.sendAllowedUntil = allowedUntil;
        this.clock = clock;
        this.resultCallback = answers;
        this.log = log;
    }

    /** The result of a call; without a reply it failed. */
    record Answered(Call call, Optional<HttpReply> reply, String failure) {}

    /** A call and the time when it fails. */
    static final class Call {
        final WorkerId worker;
        final HttpCall httpCall;
        final Optional<SendCommands> commands;
        final Optional<FetchReport> reportRequest;
        volatile long deadlineMillis;

        Call(SendCommands send, HttpCall http) {
            this.worker = send.worker();
            this.httpCall = http;
            this.commands = Optional.of(send);
            this.reportRequest = Optional.empty();
        }

        Call(FetchReport fetch, HttpCall http) {
            this.worker = fetch.worker();
            this.httpCall = http;
            this.commands = Optional.empty();
            this.reportRequest = Optional.of(fetch);
        }
    }

    /** The connection to a worker with its waiting calls. */
    private static final class WorkerConnection {
        final List<Call> queuedCalls = new ArrayList<>(2);
        volatile InetSocketAddress address;
        volatile HttpChannel channel;
        volatile Call activeCall;
    }

    /** Replaces the addresses of the workers and drops connections of absent ones. */
    void updateAddresses(Map<WorkerId, InetSocketAddress> addresses) {
        addresses.forEach(
                (worker, address) -> {
                    WorkerConnection link =
                            connections.computeIfAbsent(worker, key -> new WorkerConnection());
                    if (!address.equals(link.address)) {
                        synchronized (link) {
                            close(link);
                            link.address = address;
                        }
                    }
                });
        for (Iterator<Map.Entry<WorkerId, WorkerConnection>> it = connections.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<WorkerId, WorkerConnection> entry = it.next();
            WorkerConnection link = entry.getValue();
            if (!addresses.containsKey(entry.getKey())
                    && link.activeCall == null
                    && link.queuedCalls.isEmpty()) {
                close(link);
                it.remove();
            }
        }
    }

    void send(long nowMillis, SendCommands send) {
        HttpCall http =
                HttpCall.json("POST", "/v1/commands", WorkerJson.encodeCommands(group, send));
        enqueue(nowMillis, new Call(send, http));
    }

    void fetch(long nowMillis, FetchReport fetch) {
        enqueue(nowMillis, new Call(fetch, HttpCall.get("/v1/report")));
    }

    /**
     * Fails calls whose time is over. The results do not pass the ring, because a full ring would
     * leave a worker without calls for ever.
     */
    List<PlacementEvent> expireCalls(long nowMillis) {
        List<Answered> late = new ArrayList<>();
        for (WorkerConnection link : connections.values()) {
            Call call = link.activeCall;
            if (call != null && nowMillis >= call.deadlineMillis) {
                call.deadlineMillis = Long.MAX_VALUE;
                close(link);
                late.add(new Answered(call, Optional.empty(), ChannelFailure.TIMED_OUT.code()));
            }
        }
        List<PlacementEvent> events = new ArrayList<>(late.size());
        late.forEach(answered -> complete(nowMillis, answered).ifPresent(events::add));
        return events;
    }

    /**
     * Takes a result on the placement thread; returns the event for the owner, if it is current.
     */
    Optional<PlacementEvent> complete(long nowMillis, Answered answered) {
        Call call = answered.call();
        WorkerConnection link = connections.get(call.worker);
        if (link == null || link.activeCall != call) {
            return Optional.empty();
        }
        link.activeCall = null;
        logReachability(answered);
        PlacementEvent event = toEvent(answered);
        startNextCall(nowMillis, call.worker, link);
        return Optional.of(event);
    }

    void close() {
        connections.values().forEach(WorkerCalls::close);
    }

    private void enqueue(long nowMillis, Call call) {
        WorkerConnection link =
                connections.computeIfAbsent(call.worker, key -> new WorkerConnection());
        link.queuedCalls.add(call);
        if (link.activeCall == null) {
            startNextCall(nowMillis, call.worker, link);
        }
    }

    private void startNextCall(long nowMillis, WorkerId worker, WorkerConnection link) {
        if (link.queuedCalls.isEmpty()) {
            return;
        }
        Call call = link.queuedCalls.remove(0);
        link.activeCall = call;
        call.deadlineMillis = nowMillis + CALL_TIMEOUT_MILLIS;
        if (link.address == null) {
            fail(call, ChannelFailure.CONNECT_FAILED);
        } else if (link.channel != null && link.channel.isIdle()) {
            sendIfAllowed(link.channel, call);
        } else {
            connect(link, call);
        }
    }

    private void connect(WorkerConnection link, Call call) {
        InetSocketAddress address = link.address;
        channels.connect(address)
                .whenComplete(
                        (channel, error) -> {
                            if (error != null) {
                                fail(call, ChannelFailure.CONNECT_FAILED);
                            } else {
                                useChannel(link, address, channel, call);
                            }
                        });
    }

    /** Runs on a selector thread; a call that timed out meanwhile must not be sent any more. */
    private void useChannel(
            WorkerConnection link, InetSocketAddress address, HttpChannel channel, Call call) {
        boolean moved;
        synchronized (link) {
            if (link.activeCall != call || call.deadlineMillis == Long.MAX_VALUE) {
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
            sendIfAllowed(channel, call);
        }
    }

    private void sendIfAllowed(HttpChannel channel, Call call) {
        // The process may have been paused, or the call may have waited, since the decision.
        boolean allowed =
                call.commands
                        .map(send -> clock.getAsLong() < sendAllowedUntil.applyAsLong(send))
                        .orElse(true);
        if (!allowed) {
            fail(call, ChannelFailure.CLOSED_BEFORE_SEND);
            return;
        }
        channel.send(call.httpCall)
                .whenComplete(
                        (reply, error) -> {
                            if (error == null) {
                                resultCallback.accept(new Answered(call, Optional.of(reply), ""));
                            } else if (error instanceof ChannelException known) {
                                fail(call, known.failure());
                            } else {
                                fail(call, ChannelFailure.BROKEN_ANSWER);
                            }
                        });
    }

    private void fail(Call call, ChannelFailure failure) {
        resultCallback.accept(new Answered(call, Optional.empty(), failure.code()));
    }

    private static void close(WorkerConnection link) {
        synchronized (link) {
            if (link.channel != null) {
                link.channel.close();
                link.channel = null;
            }
        }
    }

    private void logReachability(Answered answered) {
        WorkerId worker = answered.call().worker;
        if (answered.reply().isPresent()) {
            if (unreachable.remove(worker)) {
                log.event(PlacementLogEvent.WORKER_REACHABLE).with("worker", worker).write();
            }
        } else if (!answered.failure().equals(ChannelFailure.CLOSED_BEFORE_SEND.code())
                && unreachable.add(worker)) {
            log.event(PlacementLogEvent.WORKER_UNREACHABLE)
                    .with("worker", worker)
                    .with("call", answered.call().httpCall.target())
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
            return whole.flatMap(reply -> WorkerJson.decodeCommandsAnswer(send, reply.body()))
                    .orElseGet(
                            () ->
                                    new PlacementEvent.CommandsFailed(
                                            call.worker, send.number(), stale));
        }
        long number = call.reportRequest.orElseThrow().number();
        return whole.flatMap(reply -> WorkerJson.decodeReport(call.worker, reply.body()))
                .<PlacementEvent>map(report -> new PlacementEvent.ReportReceived(number, report))
                .orElseGet(() -> new PlacementEvent.ReportFailed(call.worker, number));
    }
}
