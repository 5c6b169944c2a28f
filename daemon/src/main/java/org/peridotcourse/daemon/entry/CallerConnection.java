package org.peridotcourse.daemon.entry;

import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * What the entry host knows of one connection of a caller: whether a request is arriving, being
 * answered, or neither, and since when. It is thread-safe.
 */
final class CallerConnection {
    /** Time for a caller to read a refusal before its connection is closed. */
    private static final long LINGER_MILLIS = 500;

    /** Bytes within the read time-out by which a caller shows that it reads its response. */
    private static final int MIN_READ_PROGRESS_BYTES = 16 * 1024;

    private final Connection<?> connection;
    private Phase phase = Phase.IDLE;
    private long phaseStartMillis;
    private int headBytes;
    private int reservedBytes;
    private Runnable disconnectListener;
    private boolean closed;

    /** Bytes of responses that are not written to the connection yet. */
    private int unwrittenBytes;

    /** Bytes of responses that wait in the connection's queue for the caller to read. */
    private int unsentBytes;

    private int unsentBytesAtProgress;
    private long lastProgressMillis;

    CallerConnection(Connection<?> connection, long now) {
        this.connection = connection;
        this.phaseStartMillis = now;
    }

    /** What happens on the connection. */
    enum Phase {
        /** No request. */
        IDLE,
        /** Head or body of a request arrive. */
        RECEIVING,
        /** A complete request waits for its response. */
        PROCESSING,
        /** A refusal was sent and the connection is about to be closed. */
        LINGERING
    }

    synchronized boolean isIdle() {
        return phase == Phase.IDLE;
    }

    synchronized boolean isIdleFor(long now, long millis) {
        return phase == Phase.IDLE
                && unwrittenBytes + unsentBytes == 0
                && now - phaseStartMillis >= millis;
    }

    /** Returns the number of bytes that arrived since the current head began. */
    synchronized int headBytes() {
        return headBytes;
    }

    /** Sets what to call if the connection ends before the response is sent. */
    synchronized void onDisconnect(Runnable listener) {
        disconnectListener = listener;
    }

    synchronized void onBytes(int count, long now) {
        if (phase == Phase.IDLE) {
            headBytes = 0;
            enterPhase(Phase.RECEIVING, now);
        }
        headBytes += count;
    }

    /** Notes a parsed head; its bytes may have arrived together with the previous request. */
    synchronized void onHead(long now) {
        if (phase != Phase.RECEIVING && phase != Phase.LINGERING) {
            enterPhase(Phase.RECEIVING, now);
        }
    }

    /** Notes that a request is complete; false if it was refused as overdue before. */
    synchronized boolean beginProcessing(long now) {
        if (phase != Phase.RECEIVING) {
            return false;
        }
        enterPhase(Phase.PROCESSING, now);
        return true;
    }

    /** Notes that a response was sent. */
    synchronized void endProcessing(BodyBudget budget, long now) {
        disconnectListener = null;
        releaseRequestBody(budget);
        if (phase != Phase.LINGERING) {
            enterPhase(Phase.IDLE, now);
        }
    }

    /** Tells whether the current request was refused and the rest of it is to be dropped. */
    synchronized boolean isRefused() {
        return phase == Phase.LINGERING;
    }

    /** Accounts for the bytes of the present body; false if there is no room for them. */
    synchronized boolean reserve(int bytes, BodyBudget budget) {
        if (bytes > reservedBytes && !budget.take(bytes - reservedBytes)) {
            return false;
        }
        reservedBytes = Math.max(bytes, reservedBytes);
        return true;
    }

    /** Counts the body of a response until the caller has read it. */
    synchronized void onResponse(int bytes, BodyBudget budget) {
        if (!closed) {
            unwrittenBytes += bytes;
            budget.takeBeyondLimit(bytes);
        }
    }

    /** Notes that a response went into the connection's queue. */
    synchronized void onResponseQueued(int bytes, BodyBudget budget, long now) {
        if (closed) {
            return;
        }
        if (unsentBytes == 0) {
            lastProgressMillis = now;
        }
        unwrittenBytes -= bytes;
        unsentBytes += bytes;
        unsentBytesAtProgress = unsentBytes;
        releaseReadBytes(budget, now);
    }

    /**
     * Gives the bytes that the caller has read back to the budget. Only steps of some size restart
     * the time, since a caller that reads single bytes holds memory as well.
     */
    private void releaseReadBytes(BodyBudget budget, long now) {
        int left =
                Math.min(
                        unsentBytes,
                        ((NIOConnection) connection).getAsyncWriteQueue().spaceInBytes());
        budget.release(unsentBytes - left);
        unsentBytes = left;
        if (unsentBytesAtProgress - left >= MIN_READ_PROGRESS_BYTES) {
            unsentBytesAtProgress = left;
            lastProgressMillis = now;
        }
    }

    /** Closes the connection of a caller that does not read its responses; true if it did. */
    synchronized boolean closeIfNotReading(BodyBudget budget, long now, long readTimeout) {
        if (closed || unsentBytes == 0) {
            return false;
        }
        releaseReadBytes(budget, now);
        if (unsentBytes == 0 || now - lastProgressMillis < readTimeout) {
            return false;
        }
        // An orderly close would wait until the caller has read what is queued.
        connection.terminateSilently();
        return true;
    }

    private void releaseRequestBody(BodyBudget budget) {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }

    void onClosed(BodyBudget budget) {
        Runnable listener;
        synchronized (this) {
            releaseRequestBody(budget);
            budget.release(unwrittenBytes + unsentBytes);
            unwrittenBytes = 0;
            unsentBytes = 0;
            closed = true;
            listener = disconnectListener;
            disconnectListener = null;
        }
        if (listener != null) {
            listener.run();
        }
    }

    /** Sends a refusal outside of the order of requests, then closes the connection. */
    synchronized boolean refuse(CallerResponse answer, long now) {
        if (phase == Phase.LINGERING) {
            return false;
        }
        enterPhase(Phase.LINGERING, now);
        Buffer bytes = Buffers.wrap(null, answer.toBytes());
        connection.write(bytes);
        return true;
    }

    /** Does what is due; returns true if the current request was refused as overdue. */
    synchronized boolean sweep(
            long now, long readTimeout, long idleTimeout, Supplier<CallerResponse> refusal) {
        long age = now - phaseStartMillis;
        switch (phase) {
            case RECEIVING:
                return age >= readTimeout && refuse(refusal.get(), now);
            case IDLE:
                closeIfOlder(age, idleTimeout);
                return false;
            case LINGERING:
                closeIfOlder(age, LINGER_MILLIS);
                return false;
            default:
                return false;
        }
    }

    void close() {
        connection.closeSilently();
    }

    private void enterPhase(Phase next, long now) {
        phaseStartMillis = now;
        phase = next;
    }

    private void closeIfOlder(long age, long limit) {
        if (age >= limit && unwrittenBytes + unsentBytes == 0) {
            connection.terminateSilently();
        }
    }
}
