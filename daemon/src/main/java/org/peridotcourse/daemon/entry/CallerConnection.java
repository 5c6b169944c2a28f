package org.peridotcourse.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The state of a caller's connection: whether a request is being received or processed, since when,
 * and how many bytes it occupies in memory. It is thread-safe.
 *
 * <p>One request at a time is parsed and processed. Bytes that arrive during its processing are
 * held back until its response is queued, so that responses keep the order of their requests.
 */
final class CallerConnection {
    /** Time for a caller to read a refusal before its connection is closed. */
    private static final long LINGER_MILLIS = 500;

    /**
     * A caller with unread responses is disconnected if it reads fewer bytes within the read
     * time-out.
     */
    private static final int MIN_READ_PROGRESS_BYTES = 16 * 1024;

    /**
     * Reading pauses at this number of held bytes; further pipelined requests then stay in the
     * buffers of the sockets.
     */
    private static final int MAX_HELD_BYTES = 16 * 1024;

    private final Connection<?> connection;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);
    private boolean readingPaused;
    private boolean outputEnded;
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
        /**
         * The last response of the connection was sent; what still arrives is discarded, and the
         * connection is closed when the caller has had time to read the response.
         */
        LINGERING
    }

    synchronized boolean isIdleFor(long now, long millis) {
        return phase == Phase.IDLE
                && unwrittenBytes + unsentBytes == 0
                && now - phaseStartMillis >= millis;
    }

    /** Returns the largest number of bytes that were parsed at once since the head began. */
    synchronized int headBytes() {
        return headBytes;
    }

    /** Sets a listener that is called if the connection closes before the response is sent. */
    synchronized void onDisconnect(Runnable listener) {
        disconnectListener = listener;
    }

    /**
     * Holds back bytes that arrive while a request is processed.
     *
     * @return false if no request is processed, so that the bytes can be parsed now
     */
    synchronized boolean hold(Buffer buffer, BodyBudget budget) throws IOException {
        return hold(buffer, held.size(), budget);
    }

    /**
     * Holds back bytes that arrived earlier than the other held bytes.
     *
     * @return false if no request is processed, so that the bytes can be parsed now
     */
    synchronized boolean holdFirst(Buffer buffer, BodyBudget budget) throws IOException {
        return hold(buffer, 0, budget);
    }

    private boolean hold(Buffer buffer, int position, BodyBudget budget) throws IOException {
        if (phase != Phase.PROCESSING) {
            return false;
        }
        if (closed) {
            return true;
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        byte[] others = held.toByteArray();
        held.reset();
        held.write(others, 0, position);
        held.writeBytes(bytes);
        held.write(others, position, others.length - position);
        budget.takeBeyondLimit(bytes.length);
        if (held.size() >= MAX_HELD_BYTES && !readingPaused) {
            readingPaused = true;
            connection.disableIOEvent(IOEvent.READ);
        }
        return true;
    }

    /** Removes and returns the held bytes; returns none while a request is processed. */
    synchronized byte[] takeHeld(BodyBudget budget) {
        if (phase == Phase.PROCESSING) {
            return new byte[0];
        }
        byte[] bytes = held.toByteArray();
        held.reset();
        budget.release(bytes.length);
        return bytes;
    }

    /** Reads again once all bytes before a pause are parsed. */
    synchronized void continueReading() throws IOException {
        if (readingPaused && !closed && phase != Phase.PROCESSING && held.size() == 0) {
            readingPaused = false;
            connection.enableIOEvent(IOEvent.READ);
        }
    }

    /**
     * Records that bytes of a request are about to be parsed.
     *
     * @return true if a request begins with them
     */
    synchronized boolean onBytes(int count, long now) {
        boolean begins = phase == Phase.IDLE;
        if (begins) {
            headBytes = 0;
            enterPhase(Phase.RECEIVING, now);
        }
        headBytes = Math.max(headBytes, count);
        return begins;
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

    /** Records that the response being written is the last one of the connection. */
    synchronized void onLastResponse(long now) {
        enterPhase(Phase.LINGERING, now);
    }

    /** Returns whether the last response was sent, so that what still arrives is discarded. */
    synchronized boolean isRefused() {
        return phase == Phase.LINGERING;
    }

    /** Reserves budget for the body of the current request; returns false if too little is left. */
    synchronized boolean reserve(int bytes, BodyBudget budget) {
        if (closed) {
            return true;
        }
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
        endOutputIfWritten();
    }

    /**
     * Ends the output once the last response is written, for callers that read until then. The
     * input stays open: closing it with unread bytes would reset the connection, and the caller
     * could lose the response.
     */
    private void endOutputIfWritten() {
        if (phase != Phase.LINGERING
                || outputEnded
                || unwrittenBytes > 0
                || ((NIOConnection) connection).getAsyncWriteQueue().spaceInBytes() > 0) {
            return;
        }
        outputEnded = true;
        try {
            ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
        } catch (IOException broken) {
            connection.terminateSilently();
        }
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
            budget.release(unwrittenBytes + unsentBytes + held.size());
            held.reset();
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
                endOutputIfWritten();
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
