package org.peridotcourse.daemon.entry;

import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The state of a caller's connection: whether a request is being received or processed, since when,
 * and how many bytes it occupies in memory. It is thread-safe.
 */
final class CallerConnection {
    /** Time for a caller to read a refusal before its connection is closed. */
    private static final long LINGER_MILLIS = 500;

    /**
     * A caller with unread responses is disconnected if it reads fewer bytes within the read
     * time-out.
     */
    private static final int MIN_READ_PROGRESS_BYTES = 16 * 1024;

    private final Connection<?> connection;
    private Phase phase = Phase.IDLE;
    private long phaseStartMillis;
    private int headBytes;
    private int reservedBytes;
    private Runnable disconnectListener;
    private boolean closed;

    /** Bytes of response bodies that are not yet written to the connection. */
    private int unwrittenBytes;

    /**
     * Bytes of response bodies in the connection's write queue, which the caller has not read yet.
     */
    private int unsentBytes;

    private int unsentBytesAtProgress;
    private long lastProgressMillis;

    CallerConnection(Connection<?> connection, long now) {
        this.connection = connection;
        this.phaseStartMillis = now;
    }

    /** Phases of a connection. */
    enum Phase {
        /** No request. */
        IDLE,
        /** The head or body of a request is arriving. */
        RECEIVING,
        /** A complete request waits for its response. */
        PROCESSING,
        /** A refusal was sent; the connection is closed when the caller has had time to read it. */
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

    /** Sets a listener that is called if the connection closes before the response is sent. */
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

    /** Records that a head was parsed; its bytes may have arrived with the previous request. */
    synchronized void onHead(long now) {
        if (phase != Phase.RECEIVING && phase != Phase.LINGERING) {
            enterPhase(Phase.RECEIVING, now);
        }
    }

    /** Records that a request is complete; returns false if it was already refused as overdue. */
    synchronized boolean beginProcessing(long now) {
        if (phase != Phase.RECEIVING) {
            return false;
        }
        enterPhase(Phase.PROCESSING, now);
        return true;
    }

    /** Records that the response to a request is ready to be written. */
    synchronized void endProcessing(BodyBudget budget, long now) {
        disconnectListener = null;
        releaseRequestBody(budget);
        if (phase != Phase.LINGERING) {
            enterPhase(Phase.IDLE, now);
        }
    }

    /** Returns whether the current request was refused, so that the rest of it is discarded. */
    synchronized boolean isRefused() {
        return phase == Phase.LINGERING;
    }

    /** Reserves budget for the body of the current request; returns false if too little is left. */
    synchronized boolean reserve(int bytes, BodyBudget budget) {
        if (bytes > reservedBytes && !budget.tryReserve(bytes - reservedBytes)) {
            return false;
        }
        reservedBytes = Math.max(bytes, reservedBytes);
        return true;
    }

    /** Counts the body of a response against the budget until the caller has read it. */
    synchronized void onResponse(int bytes, BodyBudget budget) {
        if (!closed) {
            unwrittenBytes += bytes;
            budget.takeBeyondLimit(bytes);
        }
    }

    /** Records that a response was added to the connection's write queue. */
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
     * Releases the bytes that the caller has read. Only progress of at least {@link
     * #MIN_READ_PROGRESS_BYTES} restarts the time-out, because a caller that reads single bytes
     * also occupies memory.
     */
    private void releaseReadBytes(BodyBudget budget, long now) {
        int unreadBytes =
                Math.min(
                        unsentBytes,
                        ((NIOConnection) connection).getAsyncWriteQueue().spaceInBytes());
        budget.release(unsentBytes - unreadBytes);
        unsentBytes = unreadBytes;
        if (unsentBytesAtProgress - unreadBytes >= MIN_READ_PROGRESS_BYTES) {
            unsentBytesAtProgress = unreadBytes;
            lastProgressMillis = now;
        }
    }

    /** Closes the connection if the caller does not read its responses; returns whether it did. */
    synchronized boolean closeIfNotReading(BodyBudget budget, long now, long readTimeoutMillis) {
        if (closed || unsentBytes == 0) {
            return false;
        }
        releaseReadBytes(budget, now);
        if (unsentBytes == 0 || now - lastProgressMillis < readTimeoutMillis) {
            return false;
        }
        // An orderly close would wait until the caller has read the queued bytes.
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

    /** Sends a refusal ahead of other pending responses; the connection is closed afterwards. */
    synchronized boolean refuse(CallerResponse response, long now) {
        if (phase == Phase.LINGERING) {
            return false;
        }
        enterPhase(Phase.LINGERING, now);
        Buffer bytes = Buffers.wrap(null, response.toBytes());
        connection.write(bytes);
        return true;
    }

    /**
     * Applies the time-out of the phase; returns whether the current request was refused as
     * overdue.
     */
    synchronized boolean sweep(
            long now,
            long readTimeoutMillis,
            long idleTimeoutMillis,
            Supplier<CallerResponse> refusal) {
        long ageMillis = now - phaseStartMillis;
        switch (phase) {
            case RECEIVING:
                return ageMillis >= readTimeoutMillis && refuse(refusal.get(), now);
            case IDLE:
                closeIfOlder(ageMillis, idleTimeoutMillis);
                return false;
            case LINGERING:
                closeIfOlder(ageMillis, LINGER_MILLIS);
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

    private void closeIfOlder(long ageMillis, long limitMillis) {
        if (ageMillis >= limitMillis && unwrittenBytes + unsentBytes == 0) {
            connection.terminateSilently();
        }
    }
}
