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
 * <p>A connection whose call failed or timed out is closed, and the next call opens a new one, so
 * an unresponsive connection costs one time-out. The time a call waits for another thread's call
 * counts towards its own time-out. It is thread-safe.
 */
final class PlatformConnection implements AutoCloseable {
    private final ChannelFactory factory;
    private final InetSocketAddress address;
    private final long timeoutMillis;
    private final EventLog log;
    private final ReentrantLock callLock = new ReentrantLock();

    private HttpChannel channel;
    private long consecutiveFailures;

    PlatformConnection(
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
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        return sendExclusively(call, deadlineNanos, false);
    }

    /**
     * Sends a call that may be repeated. If the connection was reused and has ended, because the
     * platform closed it in the meantime, the call is sent once more over a new connection.
     */
    Result<HttpReply> callRepeatable(HttpCall call) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        return sendExclusively(call, deadlineNanos, true);
    }

    @Override
    public void close() {
        callLock.lock();
        try {
            if (channel != null) {
                channel.close();
                channel = null;
            }
        } finally {
            callLock.unlock();
        }
    }

    private Result<HttpReply> sendExclusively(
            HttpCall call, long deadlineNanos, boolean repeatable) {
        try {
            if (!callLock.tryLock(timeoutMillis, TimeUnit.MILLISECONDS)) {
                return Result.failed(ChannelFailure.CLOSED_BEFORE_SEND);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Result.failed(ChannelFailure.CLOSED_BEFORE_SEND);
        }
        try {
            boolean reused = channel != null && channel.isIdle();
            Result<HttpReply> reply = send(call, deadlineNanos);
            if (reused && repeatable && isConnectionEnded(reply)) {
                reply = send(call, deadlineNanos);
            }
            logReachability(call, reply);
            return reply;
        } finally {
            callLock.unlock();
        }
    }

    private static boolean isConnectionEnded(Result<HttpReply> reply) {
        return reply.failure()
                .filter(
                        reason ->
                                reason == ChannelFailure.ENDED_EARLY
                                        || reason == ChannelFailure.CLOSED_BEFORE_SEND)
                .isPresent();
    }

    private Result<HttpReply> send(HttpCall call, long deadlineNanos) {
        try {
            if (channel == null || !channel.isIdle()) {
                if (channel != null) {
                    channel.close();
                }
                channel = null;
                channel = await(factory.connect(address), deadlineNanos);
            }
            return Result.ok(await(channel.send(call), deadlineNanos));
        } catch (ExecutionException failed) {
            ChannelFailure reason =
                    failed.getCause() instanceof ChannelException channelException
                            ? channelException.failure()
                            : ChannelFailure.BROKEN_ANSWER;
            return closeConnection(reason);
        } catch (TimeoutException late) {
            return closeConnection(
                    channel == null ? ChannelFailure.CONNECT_FAILED : ChannelFailure.TIMED_OUT);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return closeConnection(ChannelFailure.ABANDONED);
        }
    }

    private Result<HttpReply> closeConnection(ChannelFailure reason) {
        if (channel != null) {
            channel.abandon(reason);
            channel = null;
        }
        return Result.failed(reason);
    }

    private static <T> T await(CompletableFuture<T> future, long deadlineNanos)
            throws ExecutionException, TimeoutException, InterruptedException {
        long remainingNanos = Math.max(0, deadlineNanos - System.nanoTime());
        return future.get(remainingNanos, TimeUnit.NANOSECONDS);
    }

    private void logReachability(HttpCall call, Result<HttpReply> reply) {
        if (reply instanceof Result.Failed<HttpReply> failed) {
            if (consecutiveFailures++ == 0) {
                log.event(PlatformEvent.UNREACHABLE)
                        .with("address", address)
                        .with("call", call.method() + " " + call.target())
                        .with("failure", failed.reason().code())
                        .write();
            }
        } else if (consecutiveFailures > 0) {
            log.event(PlatformEvent.REACHABLE)
                    .with("address", address)
                    .with("failures", consecutiveFailures)
                    .write();
            consecutiveFailures = 0;
        }
    }
}
