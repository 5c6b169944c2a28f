package org.peridotcourse.daemon.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Sends calls over pooled keep-alive connections and reports their outcome on an {@link EventLoop}.
 *
 * <p>A call has one outcome: a response, or a {@link ChannelFailure} that tells whether it may have
 * reached the server. When a call times out, its connection and those idle connections to the same
 * address are closed that have had no response since the call began, since these may have stopped
 * responding as well. Confined to the loop.
 */
public final class PooledHttpClient {
    private static final int MAX_IDLE_PER_ADDRESS = 4;

    private final ChannelFactory factory;
    private final EventLoop loop;
    private final Map<InetSocketAddress, AddressPool> pools = new HashMap<>();

    /** Numbers the starts of calls and the responses in their order. */
    private long nextEvent;

    /**
     * Creates a client without connections.
     *
     * @param factory opens connections
     * @param loop the loop that runs all calls to this object and all handlers
     */
    public PooledHttpClient(ChannelFactory factory, EventLoop loop) {
        this.factory = factory;
        this.loop = loop;
    }

    /**
     * A connection without a call, the time at which it was opened, and the number of the event by
     * which it became idle.
     */
    private record IdleChannel(HttpChannel channel, long openedAt, long since) {}

    /**
     * A call with a part that is meant for one process of the server, and the call without it. A
     * connection ends with its process, so one that was open while the process was seen cannot
     * reach a later process.
     *
     * <p>Only the call that is sent is encoded.
     *
     * @param call the call for connections that were opened before a time
     * @param openedBefore that time, by the clock of the loop
     * @param otherwise the call for other connections
     */
    public record BoundCall(
            Supplier<HttpCall> call, long openedBefore, Supplier<HttpCall> otherwise) {
        private HttpCall on(long openedAt) {
            return (openedAt < openedBefore ? call : otherwise).get();
        }
    }

    /** The idle connections, waiting calls and number of active calls of one address. */
    private static final class AddressPool {
        final Deque<IdleChannel> idle = new ArrayDeque<>();
        final Deque<PendingCall> waiting = new ArrayDeque<>();
        int active;
    }

    /** A call that has no outcome yet. */
    private final class PendingCall {
        final InetSocketAddress address;
        final BoundCall call;
        final Consumer<Result<HttpReply>> handler;
        final long startedAt = nextEvent++;
        HttpChannel channel;
        long channelOpenedAt;
        boolean countedAsActive;
        boolean finished;
        EventLoop.Timer timer;

        PendingCall(
                InetSocketAddress address, BoundCall call, Consumer<Result<HttpReply>> handler) {
            this.address = address;
            this.call = call;
            this.handler = handler;
        }
    }

    /**
     * Sends a call.
     *
     * @param address the address of the server
     * @param call the call
     * @param timeoutMillis time within which the complete response must arrive
     * @param maxActive limit of outstanding calls to this address; further calls are queued
     * @param handler receives the response or a {@link ChannelFailure}, on the loop
     */
    public void call(
            InetSocketAddress address,
            HttpCall call,
            long timeoutMillis,
            int maxActive,
            Consumer<Result<HttpReply>> handler) {
        call(address, new BoundCall(() -> call, 0, () -> call), timeoutMillis, maxActive, handler);
    }

    /**
     * Sends a call that depends on the age of its connection.
     *
     * @param address the address of the server
     * @param call the call
     * @param timeoutMillis time within which the complete response must arrive
     * @param maxActive limit of outstanding calls to this address; further calls are queued
     * @param handler receives the response or a {@link ChannelFailure}, on the loop
     */
    public void call(
            InetSocketAddress address,
            BoundCall call,
            long timeoutMillis,
            int maxActive,
            Consumer<Result<HttpReply>> handler) {
        PendingCall pending = new PendingCall(address, call, handler);
        pending.timer = loop.schedule(timeoutMillis, () -> onTimeout(pending));
        AddressPool pool = pools.computeIfAbsent(address, key -> new AddressPool());
        if (pool.active >= maxActive) {
            pool.waiting.add(pending);
        } else {
            startCall(pool, pending);
        }
    }

    /**
     * Closes the idle connections to an address that is no longer used.
     *
     * @param address the address
     */
    public void closeIdleConnections(InetSocketAddress address) {
        AddressPool pool = pools.get(address);
        if (pool != null) {
            closeIdle(pool, Long.MAX_VALUE);
            if (pool.active == 0 && pool.waiting.isEmpty()) {
                pools.remove(address);
            }
        }
    }

    private void startCall(AddressPool pool, PendingCall pending) {
        pool.active++;
        pending.countedAsActive = true;
        Optional<IdleChannel> idle = pollIdle(pool, pending.call.openedBefore());
        if (idle.isPresent()) {
            send(pending, idle.get().channel(), idle.get().openedAt(), true);
        } else {
            connect(pending);
        }
    }

    /** Takes the connection that was used last, if possible one that was opened before a time. */
    private static Optional<IdleChannel> pollIdle(AddressPool pool, long openedBefore) {
        pool.idle.removeIf(
                idle -> {
                    boolean ended = !idle.channel().isIdle();
                    if (ended) {
                        idle.channel().close();
                    }
                    return ended;
                });
        Optional<IdleChannel> chosen = Optional.ofNullable(pool.idle.peekLast());
        for (IdleChannel idle : pool.idle) {
            if (idle.openedAt() < openedBefore) {
                chosen = Optional.of(idle);
            }
        }
        chosen.ifPresent(pool.idle::remove);
        return chosen;
    }

    private void connect(PendingCall pending) {
        factory.connect(pending.address)
                .whenComplete(
                        (channel, error) ->
                                loop.post(
                                        () -> {
                                            if (error != null) {
                                                finish(pending, failed(error));
                                            } else if (pending.finished) {
                                                channel.close();
                                            } else {
                                                send(pending, channel, loop.nowMillis(), false);
                                            }
                                        }));
    }

    private void send(PendingCall pending, HttpChannel channel, long openedAt, boolean reused) {
        pending.channel = channel;
        pending.channelOpenedAt = openedAt;
        channel.send(pending.call.on(openedAt))
                .whenComplete(
                        (reply, error) ->
                                loop.post(() -> onOutcome(pending, reply, error, reused)));
    }

    private void onOutcome(PendingCall pending, HttpReply reply, Throwable error, boolean reused) {
        if (pending.finished) {
            return;
        }
        if (error == null) {
            HttpChannel channel = pending.channel;
            AddressPool pool = pools.get(pending.address);
            channel.releaseResponseBytes();
            if (channel.isIdle() && pool != null && pool.idle.size() < MAX_IDLE_PER_ADDRESS) {
                pool.idle.addLast(new IdleChannel(channel, pending.channelOpenedAt, nextEvent++));
            } else {
                channel.close();
            }
            finish(pending, Result.ok(reply));
            return;
        }
        Result<HttpReply> failure = failed(error);
        boolean unsent = failure.failure().orElseThrow() == ChannelFailure.CLOSED_BEFORE_SEND;
        if (reused && unsent) {
            pending.channel = null;
            connect(pending);
        } else {
            finish(pending, failure);
        }
    }

    private void onTimeout(PendingCall pending) {
        if (pending.finished) {
            return;
        }
        AddressPool pool = pools.get(pending.address);
        boolean sent = pending.channel != null;
        if (sent) {
            pending.channel.abandon(ChannelFailure.TIMED_OUT);
            closeIdle(pool, pending.startedAt);
        } else {
            pool.waiting.remove(pending);
        }
        finish(pending, Result.failed(sent ? ChannelFailure.TIMED_OUT : ChannelFailure.EXPIRED));
    }

    /** Closes the connections that became idle before an event. */
    private static void closeIdle(AddressPool pool, long before) {
        pool.idle.removeIf(
                idle -> {
                    boolean closes = idle.since() < before;
                    if (closes) {
                        idle.channel().close();
                    }
                    return closes;
                });
    }

    private void finish(PendingCall pending, Result<HttpReply> outcome) {
        if (pending.finished) {
            return;
        }
        pending.finished = true;
        pending.timer.cancel();
        AddressPool pool = pools.get(pending.address);
        if (pending.countedAsActive && pool != null) {
            pool.active--;
            PendingCall next = pool.waiting.poll();
            if (next != null) {
                startCall(pool, next);
            }
        }
        pending.handler.accept(outcome);
    }

    private static Result<HttpReply> failed(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return Result.failed(
                cause instanceof ChannelException channelException
                        ? channelException.failure()
                        : ChannelFailure.BROKEN_ANSWER);
    }
}
