package org.peridotcourse.daemon.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.http.ChannelException;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.http.ChannelFailure;
import org.peridotcourse.daemon.http.HttpCall;
import org.peridotcourse.daemon.http.HttpChannel;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.daemon.log.EventLog;

/**
 * One keep-alive connection to the platform that carries one call at a time.
 *
 * <p>A connection whose call failed or timed out is closed, and the next call opens a new one, so a
 * connection that fell silent costs one time-out. A call that waits for another thread's call
 * counts that wait towards its own time-out. It is thread-safe.
 */
final class PlatformLink implements AutoCloseable {
    private final ChannelFactory factory;
    private final InetSocketAddress address;
    private final long timeoutMillis;
    private final EventLog log;
    private final ReentrantLock turn = new ReentrantLock();

    private HttpChannel channel;
    private long failures;

    PlatformLink(
            ChannelFactory factory, InetSocketAddress address, long timeoutMillis, EventLog log) {
        this.factory = factory;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
        this.log = log;
    }

    InetSocketAddress address() {
        return address;
    }

    EventLog log() {
        return log;
    }

    /** Sends a call once. */
    Result<HttpReply> call(HttpCall call) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        return inTurn(call, deadline, false);
    }

    /**
     * Sends a call that may be repeated. A kept connection that the platform closed in the meantime
     * fails at once; the call is then sent once more over a new connection.
     */
    Result<HttpReply> callRepeatable(HttpCall call) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        return inTurn(call, deadline, true);
    }

    @Override
    public void close() {
        turn.lock();
        try {
            if (channel != null) {
                channel.close();
                channel = null;
            }
        } finally {
            turn.unlock();
        }
    }

    private Result<HttpReply> inTurn(HttpCall call, long deadline, boolean repeatable) {
        try {
            if (!turn.tryLock(timeoutMillis, TimeUnit.MILLISECONDS)) {
                return Result.failed(ChannelFailure.CLOSED_BEFORE_SEND);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Result.failed(ChannelFailure.CLOSED_BEFORE_SEND);
        }
        try {
            boolean kept = channel != null && channel.isIdle();
            Result<HttpReply> reply = send(call, deadline);
            if (kept && repeatable && isEndOfConnection(reply)) {
                reply = send(call, deadline);
            }
            note(call, reply);
            return reply;
        } finally {
            turn.unlock();
        }
    }

    private static boolean isEndOfConnection(Result<HttpReply> reply) {
        return reply.failure()
                .filter(
                        reason ->
                                reason == ChannelFailure.ENDED_EARLY
                                        || reason == ChannelFailure.CLOSED_BEFORE_SEND)
                .isPresent();
    }

    private Result<HttpReply> send(HttpCall call, long deadline) {
        try {
            if (channel == null || !channel.isIdle()) {
                if (channel != null) {
                    channel.close();
                }
                channel = null;
                channel = await(factory.connect(address), deadline);
            }
            return Result.ok(await(channel.send(call), deadline));
        } catch (ExecutionException failed) {
            ChannelFailure reason =
                    failed.getCause() instanceof ChannelException known
                            ? known.failure()
                            : ChannelFailure.BROKEN_ANSWER;
            return drop(reason);
        } catch (TimeoutException late) {
            return drop(channel == null ? ChannelFailure.CONNECT_FAILED : ChannelFailure.TIMED_OUT);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return drop(ChannelFailure.ABANDONED);
        }
    }

    private Result<HttpReply> drop(ChannelFailure reason) {
        if (channel != null) {
            channel.abandon(reason);
            channel = null;
        }
        return Result.failed(reason);
    }

    private static <T> T await(CompletableFuture<T> future, long deadline)
            throws ExecutionException, TimeoutException, InterruptedException {
        long left = Math.max(0, deadline - System.nanoTime());
        return future.get(left, TimeUnit.NANOSECONDS);
    }

    private void note(HttpCall call, Result<HttpReply> reply) {
        if (reply instanceof Result.Failed<HttpReply> failed) {
            if (failures++ == 0) {
                log.event(PlatformEvent.UNREACHABLE)
                        .with("address", address)
                        .with("call", call.method() + " " + call.target())
                        .with("failure", failed.reason().code())
                        .write();
            }
        } else if (failures > 0) {
            log.event(PlatformEvent.REACHABLE)
                    .with("address", address)
                    .with("failures", failures)
                    .write();
            failures = 0;
        }
    }
}
