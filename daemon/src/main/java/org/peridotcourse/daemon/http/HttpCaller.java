package org.peridotcourse.daemon.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.ring.EventLoop;

/**
 * Sends calls over kept connections and reports their outcome on an {@link EventLoop}.
 *
 * <p>A call has one outcome: an answer, or a {@link ChannelFailure} that tells whether it may have
 * reached the other side. A connection without an answer in time is closed together with the idle
 * ones to the same address, since they may have gone silent as well. Confined to the loop.
 */
public final class HttpCaller {
    private static final int MAX_IDLE = 4;

    private final ChannelFactory factory;
    private final EventLoop loop;
    private final Map<InetSocketAddress, Peer> peers = new HashMap<>();

    /**
     * Creates a caller.
     *
     * @param factory opens connections
     * @param loop the loop to which it belongs
     */
    public HttpCaller(ChannelFactory factory, EventLoop loop) {
        this.factory = factory;
        this.loop = loop;
    }

    /** The connections to one address. */
    private static final class Peer {
        final Deque<HttpChannel> idle = new ArrayDeque<>();
        final Deque<Attempt> waiting = new ArrayDeque<>();
        int active;
    }

    /** One call until it has its outcome. */
    private final class Attempt {
        final InetSocketAddress address;
        final HttpCall call;
        final Consumer<Result<HttpReply>> handler;
        HttpChannel channel;
        boolean counted;
        boolean finished;
        EventLoop.Timer timer;

        Attempt(InetSocketAddress address, HttpCall call, Consumer<Result<HttpReply>> handler) {
            this.address = address;
            this.call = call;
            this.handler = handler;
        }
    }

    /**
     * Sends a call.
     *
     * @param address the other side
     * @param call the call
     * @param timeoutMillis time in which the whole answer must arrive
     * @param maxActive calls to this address that may be outstanding; others wait their turn
     * @param handler takes the answer or a {@link ChannelFailure}, on the loop
     */
    public void call(
            InetSocketAddress address,
            HttpCall call,
            long timeoutMillis,
            int maxActive,
            Consumer<Result<HttpReply>> handler) {
        Attempt attempt = new Attempt(address, call, handler);
        attempt.timer = loop.after(timeoutMillis, () -> onTimeout(attempt));
        Peer peer = peers.computeIfAbsent(address, key -> new Peer());
        if (peer.active >= maxActive) {
            peer.waiting.add(attempt);
        } else {
            begin(peer, attempt);
        }
    }

    /**
     * Closes the idle connections to an address that is not used any more.
     *
     * @param address the address
     */
    public void forget(InetSocketAddress address) {
        Peer peer = peers.get(address);
        if (peer != null) {
            closeIdle(peer);
            if (peer.active == 0 && peer.waiting.isEmpty()) {
                peers.remove(address);
            }
        }
    }

    private void begin(Peer peer, Attempt attempt) {
        peer.active++;
        attempt.counted = true;
        HttpChannel kept = pollIdle(peer);
        if (kept != null) {
            send(attempt, kept, true);
        } else {
            connect(attempt);
        }
    }

    private static HttpChannel pollIdle(Peer peer) {
        for (HttpChannel kept = peer.idle.pollLast(); kept != null; kept = peer.idle.pollLast()) {
            if (kept.isIdle()) {
                return kept;
            }
            kept.close();
        }
        return null;
    }

    private void connect(Attempt attempt) {
        factory.connect(attempt.address)
                .whenComplete(
                        (channel, fault) ->
                                loop.post(
                                        () -> {
                                            if (fault != null) {
                                                finish(attempt, failed(fault));
                                            } else if (attempt.finished) {
                                                channel.close();
                                            } else {
                                                send(attempt, channel, false);
                                            }
                                        }));
    }

    private void send(Attempt attempt, HttpChannel channel, boolean kept) {
        attempt.channel = channel;
        channel.send(attempt.call)
                .whenComplete(
                        (reply, fault) -> loop.post(() -> onOutcome(attempt, reply, fault, kept)));
    }

    private void onOutcome(Attempt attempt, HttpReply reply, Throwable fault, boolean kept) {
        if (attempt.finished) {
            return;
        }
        if (fault == null) {
            HttpChannel channel = attempt.channel;
            Peer peer = peers.get(attempt.address);
            channel.releaseAnswer();
            if (channel.isIdle() && peer != null && peer.idle.size() < MAX_IDLE) {
                peer.idle.addLast(channel);
            } else {
                channel.close();
            }
            finish(attempt, Result.ok(reply));
            return;
        }
        Result<HttpReply> failure = failed(fault);
        boolean unsent = failure.failure().orElseThrow() == ChannelFailure.CLOSED_BEFORE_SEND;
        if (kept && unsent) {
            attempt.channel = null;
            connect(attempt);
        } else {
            finish(attempt, failure);
        }
    }

    private void onTimeout(Attempt attempt) {
        if (attempt.finished) {
            return;
        }
        Peer peer = peers.get(attempt.address);
        boolean sent = attempt.channel != null;
        if (sent) {
            attempt.channel.abandon(ChannelFailure.TIMED_OUT);
            closeIdle(peer);
        } else {
            peer.waiting.remove(attempt);
        }
        finish(
                attempt,
                Result.failed(sent ? ChannelFailure.TIMED_OUT : ChannelFailure.CONNECT_FAILED));
    }

    private static void closeIdle(Peer peer) {
        peer.idle.forEach(HttpChannel::close);
        peer.idle.clear();
    }

    private void finish(Attempt attempt, Result<HttpReply> outcome) {
        if (attempt.finished) {
            return;
        }
        attempt.finished = true;
        attempt.timer.cancel();
        Peer peer = peers.get(attempt.address);
        if (attempt.counted && peer != null) {
            peer.active--;
            Attempt next = peer.waiting.poll();
            if (next != null) {
                begin(peer, next);
            }
        }
        attempt.handler.accept(outcome);
    }

    private static Result<HttpReply> failed(Throwable fault) {
        Throwable cause = fault instanceof CompletionException ? fault.getCause() : fault;
        return Result.failed(
                cause instanceof ChannelException known
                        ? known.failure()
                        : ChannelFailure.BROKEN_ANSWER);
    }
}
