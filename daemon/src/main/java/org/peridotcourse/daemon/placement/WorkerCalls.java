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
 * Sends commands and report requests to workers, one at a time over one persistent connection to
 * each worker.
 *
 * <p>A call that is not answered in time fails and its connection is closed, so a late answer is
 * never matched to a later call. Confined to the placement thread, except that selector threads
 * install new channels, send the waiting call and pass answers to the callback.
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
     * @param sendAllowedUntil returns the time until which commands may be sent; called from any
     *     thread
     */
    WorkerCalls(
            ChannelFactory channels,
            String group,
            ToLongFunction<SendCommands> sendAllowedUntil,
            LongSupplier clock,
            Consumer<Answered> resultCallback,
            EventLog log) {
        this.channels = channels;
        this.group = group;
        this.sendAllowedUntil = sendAllowedUntil;
        this.clock = clock;
        this.resultCallback = resultCallback;
        this.log = log;
    }

    /** The result of a call; the call failed if there is no reply. */
    record Answered(Call call, Optional<HttpReply> reply, String failure) {}

    /** A call and its deadline, after which it fails. */
    static final class Call {
        final WorkerId worker;
        final HttpCall httpCall;
        final Optional<SendCommands> commands;
        final Optional<FetchReport> reportRequest;
        volatile long deadlineMillis;

        Call(SendCommands send, HttpCall httpCall) {
            this.worker = send.worker();
            this.httpCall = httpCall;
            this.commands = Optional.of(send);
            this.reportRequest = Optional.empty();
        }

        Call(FetchReport fetch, HttpCall httpCall) {
            this.worker = fetch.worker();
            this.httpCall = httpCall;
            this.commands = Optional.empty();
            this.reportRequest = Optional.of(fetch);
        }
    }

    /** The connection to a worker with its active call and its queued calls. */
    private static final class WorkerConnection {
        final List<Call> queuedCalls = new ArrayList<>(2);
        volatile InetSocketAddress address;
        volatile HttpChannel channel;
        volatile Call activeCall;
    }

    /** Replaces the addresses of the workers and closes unused connections to removed workers. */
    void updateAddresses(Map<WorkerId, InetSocketAddress> addresses) {
        addresses.forEach(
                (worker, address) -> {
                    WorkerConnection connection =
                            connections.computeIfAbsent(worker, key -> new WorkerConnection());
                    if (!address.equals(connection.address)) {
                        synchronized (connection) {
                            close(connection);
                            connection.address = address;
                        }
                    }
                });
        for (Iterator<Map.Entry<WorkerId, WorkerConnection>> it = connections.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<WorkerId, WorkerConnection> entry = it.next();
            WorkerConnection connection = entry.getValue();
            if (!addresses.containsKey(entry.getKey())
                    && connection.activeCall == null
                    && connection.queuedCalls.isEmpty()) {
                close(connection);
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
     * Fails calls whose deadline has passed. The results bypass the event ring, because a result
     * dropped by a full ring would block all later calls to its worker.
     */
    List<PlacementEvent> expireCalls(long nowMillis) {
        List<Answered> expired = new ArrayList<>();
        for (WorkerConnection connection : connections.values()) {
            Call call = connection.activeCall;
            if (call != null && nowMillis >= call.deadlineMillis) {
                call.deadlineMillis = Long.MAX_VALUE;
                close(connection);
                expired.add(new Answered(call, Optional.empty(), ChannelFailure.TIMED_OUT.code()));
            }
        }
        List<PlacementEvent> events = new ArrayList<>(expired.size());
        expired.forEach(answered -> complete(nowMillis, answered).ifPresent(events::add));
        return events;
    }

    /**
     * Completes a call on the placement thread; returns the event for the owner, or empty if the
     * call is not the active one of its worker.
     */
    Optional<PlacementEvent> complete(long nowMillis, Answered answered) {
        Call call = answered.call();
        WorkerConnection connection = connections.get(call.worker);
        if (connection == null || connection.activeCall != call) {
            return Optional.empty();
        }
        connection.activeCall = null;
        logReachability(answered);
        PlacementEvent event = toEvent(answered);
        startNextCall(nowMillis, call.worker, connection);
        return Optional.of(event);
    }

    void close() {
        connections.values().forEach(WorkerCalls::close);
    }

    private void enqueue(long nowMillis, Call call) {
        WorkerConnection connection =
                connections.computeIfAbsent(call.worker, key -> new WorkerConnection());
        connection.queuedCalls.add(call);
        if (connection.activeCall == null) {
            startNextCall(nowMillis, call.worker, connection);
        }
    }

    private void startNextCall(long nowMillis, WorkerId worker, WorkerConnection connection) {
        if (connection.queuedCalls.isEmpty()) {
            return;
        }
        Call call = connection.queuedCalls.remove(0);
        connection.activeCall = call;
        call.deadlineMillis = nowMillis + CALL_TIMEOUT_MILLIS;
        if (connection.address == null) {
            fail(call, ChannelFailure.CONNECT_FAILED);
        } else if (connection.channel != null && connection.channel.isIdle()) {
            sendIfAllowed(connection.channel, call);
        } else {
            connect(connection, call);
        }
    }

    private void connect(WorkerConnection connection, Call call) {
        InetSocketAddress address = connection.address;
        channels.connect(address)
                .whenComplete(
                        (channel, error) -> {
                            if (error != null) {
                                fail(call, ChannelFailure.CONNECT_FAILED);
                            } else {
                                useChannel(connection, address, channel, call);
                            }
                        });
    }

    /** Runs on a selector thread; a call that has timed out in the meantime must not be sent. */
    private void useChannel(
            WorkerConnection connection,
            InetSocketAddress address,
            HttpChannel channel,
            Call call) {
        boolean addressChanged;
        synchronized (connection) {
            if (connection.activeCall != call || call.deadlineMillis == Long.MAX_VALUE) {
                channel.close();
                return;
            }
            addressChanged = !address.equals(connection.address);
            if (!addressChanged) {
                connection.channel = channel;
            }
        }
        if (addressChanged) {
            channel.close();
            fail(call, ChannelFailure.CONNECT_FAILED);
        } else {
            sendIfAllowed(channel, call);
        }
    }

    private void sendIfAllowed(HttpChannel channel, Call call) {
        // The process may have been paused or the call may have waited since the owner decided.
        boolean sendAllowed =
                call.commands
                        .map(send -> clock.getAsLong() < sendAllowedUntil.applyAsLong(send))
                        .orElse(true);
        if (!sendAllowed) {
            fail(call, ChannelFailure.CLOSED_BEFORE_SEND);
            return;
        }
        channel.send(call.httpCall)
                .whenComplete(
                        (reply, error) -> {
                            if (error == null) {
                                resultCallback.accept(new Answered(call, Optional.of(reply), ""));
                            } else if (error instanceof ChannelException channelException) {
                                fail(call, channelException.failure());
                            } else {
                                fail(call, ChannelFailure.BROKEN_ANSWER);
                            }
                        });
    }

    private void fail(Call call, ChannelFailure failure) {
        resultCallback.accept(new Answered(call, Optional.empty(), failure.code()));
    }

    private static void close(WorkerConnection connection) {
        synchronized (connection) {
            if (connection.channel != null) {
                connection.channel.close();
                connection.channel = null;
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
        Optional<HttpReply> okReply = answered.reply().filter(reply -> reply.status() == 200);
        if (call.commands.isPresent()) {
            SendCommands send = call.commands.get();
            boolean staleEpoch =
                    answered.reply().filter(reply -> reply.status() == CONFLICT).isPresent();
            return okReply.flatMap(reply -> WorkerJson.decodeCommandsAnswer(send, reply.body()))
                    .orElseGet(
                            () ->
                                    new PlacementEvent.CommandsFailed(
                                            call.worker, send.number(), staleEpoch));
        }
        long number = call.reportRequest.orElseThrow().number();
        return okReply.flatMap(reply -> WorkerJson.decodeReport(call.worker, reply.body()))
                .<PlacementEvent>map(report -> new PlacementEvent.ReportReceived(number, report))
                .orElseGet(() -> new PlacementEvent.ReportFailed(call.worker, number));
    }
}
