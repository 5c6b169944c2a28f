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
    private static final int READ_STEP = 16 * 1024;

    private final Connection<?> connection;
    private Phase phase = Phase.IDLE;
    private long since;
    private int headBytes;
    private int reserved;
    private Runnable gone;
    private boolean closed;

    /** Bytes of responses that are not written to the connection yet. */
    private int unwritten;

    /** Bytes of responses that wait in the connection's queue for the caller to read. */
    private int unsent;

    private int unsentMark;
    private long unsentSince;

    CallerConnection(Connection<?> connection, long now) {
        this.connection = connection;
        this.since = now;
    }

    /** What happens on the connection. */
    enum Phase {
        /** No request. */
        IDLE,
        /** Head or body of a request arrive. */
        RECEIVING,
        /** A complete request waits for its response. */
        WORKING,
        /** A refusal was sent and the connection is about to be closed. */
        LINGERING
    }

    synchronized boolean isIdle() {
        return phase == Phase.IDLE;
    }

    synchronized boolean isIdleFor(long now, long millis) {
        return phase == Phase.IDLE && unwritten + unsent == 0 && now - since >= millis;
    }

    /** Returns the number of bytes that arrived since the current head began. */
    synchronized int headBytes() {
        return headBytes;
    }

    /** Sets what to call if the connection ends before the response is sent. */
    synchronized void onGone(Runnable listener) {
        gone = listener;
    }

    synchronized void onBytes(int count, long now) {
        if (phase == Phase.IDLE) {
            headBytes = 0;
            enter(Phase.RECEIVING, now);
        }
        headBytes += count;
    }

    /** Notes a parsed head; its bytes may have arrived together with the previous request. */
    synchronized void onHead(long now) {
        if (phase != Phase.RECEIVING && phase != Phase.LINGERING) {
            enter(Phase.RECEIVING, now);
        }
    }

    /** Notes that a request is complete; false if it was refused as overdue before. */
    synchronized boolean beginWork(long now) {
        if (phase != Phase.RECEIVING) {
            return false;
        }
        enter(Phase.WORKING, now);
        return true;
    }

    /** Notes that a response was sent. */
    synchronized void endWork(BodyBudget budget, long now) {
        gone = null;
        release(budget);
        if (phase != Phase.LINGERING) {
            enter(Phase.IDLE, now);
        }
    }

    /** Tells whether the current request was refused and the rest of it is to be dropped. */
    synchronized boolean isRefused() {
        return phase == Phase.LINGERING;
    }

    /** Accounts for the bytes of the present body; false if there is no room for them. */
    synchronized boolean reserve(int bytes, BodyBudget budget) {
        if (bytes > reserved && !budget.take(bytes - reserved)) {
            return false;
        }
        reserved = Math.max(bytes, reserved);
        return true;
    }

    /** Counts the body of a response until the caller has read it. */
    synchronized void onAnswer(int bytes, BodyBudget budget) {
        if (!closed) {
            unwritten += bytes;
            budget.count(bytes);
        }
    }

    /** Notes that a response went into the connection's queue. */
    synchronized void onWritten(int bytes, BodyBudget budget, long now) {
        if (closed) {
            return;
        }
        if (unsent == 0) {
            unsentSince = now;
        }
        unwritten -= bytes;
        unsent += bytes;
        unsentMark = unsent;
        settle(budget, now);
    }

    /**
     * Gives the bytes that the caller has read back to the budget. Only steps of some size restart
     * the time, since a caller that reads single bytes holds memory as well.
     */
    private void settle(BodyBudget budget, long now) {
        int left =
                Math.min(unsent, ((NIOConnection) connection).getAsyncWriteQueue().spaceInBytes());
        budget.release(unsent - left);
        unsent = left;
        if (unsentMark - left >= READ_STEP) {
            unsentMark = left;
            unsentSince = now;
        }
    }

    /** Closes the connection of a caller that does not read its responses; true if it did. */
    synchronized boolean closeIfUnread(BodyBudget budget, long now, long readTimeout) {
        if (closed || unsent == 0) {
            return false;
        }
        settle(budget, now);
        if (unsent == 0 || now - unsentSince < readTimeout) {
            return false;
        }
        // An orderly close would wait until the caller has read what is queued.
        connection.terminateSilently();
        return true;
    }

    private void release(BodyBudget budget) {
        budget.release(reserved);
        reserved = 0;
    }

    void onClosed(BodyBudget budget) {
        Runnable listener;
        synchronized (this) {
            release(budget);
            budget.release(unwritten + unsent);
            unwritten = 0;
            unsent = 0;
            closed = true;
            listener = gone;
            gone = null;
        }
        if (listener != null) {
            listener.run();
        }
    }

    /** Sends a refusal outside of the order of requests, then closes the connection. */
    synchronized boolean refuse(CallerAnswer answer, long now) {
        if (phase == Phase.LINGERING) {
            return false;
        }
        enter(Phase.LINGERING, now);
        Buffer bytes = Buffers.wrap(null, answer.toBytes());
        connection.write(bytes);
        return true;
    }

    /** Does what is due; returns true if the current request was refused as overdue. */
    synchronized boolean sweep(
            long now, long readTimeout, long idleTimeout, Supplier<CallerAnswer> refusal) {
        long age = now - since;
        switch (phase) {
            case RECEIVING:
                return age >= readTimeout && refuse(refusal.get(), now);
            case IDLE:
                closeAfter(age, idleTimeout);
                return false;
            case LINGERING:
                closeAfter(age, LINGER_MILLIS);
                return false;
            default:
                return false;
        }
    }

    void close() {
        connection.closeSilently();
    }

    private void enter(Phase next, long now) {
        since = now;
        phase = next;
    }

    private void closeAfter(long age, long limit) {
        if (age >= limit && unwritten + unsent == 0) {
            connection.terminateSilently();
        }
    }
}
