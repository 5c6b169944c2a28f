package org.peridotcourse.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.peridotcourse.routing.NotRunReason;

/**
 * One request of a caller over Grizzly's suspended response: collects the body, then sends one
 * response. It is thread-safe; the body is collected on a selector thread.
 */
final class CallerExchange implements Caller {
    private final String id;
    private final Request request;
    private final Response response;
    private final CallerConnection state;
    private final LongSupplier clock;
    private final BodyBudget budget;
    private final AtomicBoolean answered = new AtomicBoolean();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

    private volatile boolean closing;
    private long reserved;

    CallerExchange(
            String id, Request request, Response response, LongSupplier clock, BodyBudget budget) {
        this.id = id;
        this.request = request;
        this.response = response;
        this.state = CallerGuard.of(request.getContext().getConnection());
        this.clock = clock;
        this.budget = budget;
    }

    /** What takes a complete body. */
    @FunctionalInterface
    interface BodyTaker {
        void take(byte[] body);
    }

    String id() {
        return id;
    }

    /** Asks the caller to close its connection after the response. */
    void closeAfterwards() {
        closing = true;
    }

    /** Suspends the response and collects the body. */
    void collect(int maxBody, BodyTaker taker) {
        state.onHead(clock.getAsLong());
        response.suspend();
        if (request.getContentLengthLong() > maxBody) {
            refuseBody(NotRunReason.BODY_TOO_LARGE);
            return;
        }
        NIOInputStream input = request.getNIOInputStream();
        input.notifyAvailable(
                new ReadHandler() {
                    @Override
                    public void onDataAvailable() throws IOException {
                        if (append(input, maxBody)) {
                            input.notifyAvailable(this);
                        }
                    }

                    @Override
                    public void onError(Throwable error) {
                        answered.set(true);
                        release();
                    }

                    @Override
                    public void onAllDataRead() throws IOException {
                        if (append(input, maxBody) && state.beginWork(clock.getAsLong())) {
                            taker.take(body.toByteArray());
                        }
                    }
                });
    }

    /** Calls back once if the connection ends before the response. */
    void onGone(Runnable listener) {
        state.onGone(listener);
    }

    @Override
    public void answer(CallerAnswer answer) {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        release();
        send(answer, false);
    }

    /** Refuses a request whose end is not known, and closes the connection. */
    void refuseRaw(CallerAnswer answer) {
        answered.set(true);
        response.suspend();
        state.refuse(answer, clock.getAsLong());
    }

    private void refuseBody(NotRunReason reason) {
        if (answered.compareAndSet(false, true)) {
            release();
            long retryAfter = reason.isRetryUseful() ? EntryHandler.RETRY_AFTER_MILLIS : 0;
            send(Answers.notRun(id, reason, retryAfter), true);
        }
    }

    private void send(CallerAnswer answer, boolean skipping) {
        response.setStatus(answer.status());
        answer.headers()
                .forEach(
                        header -> {
                            if (header.getKey().toLowerCase(Locale.ROOT).equals("content-type")) {
                                response.setContentType(header.getValue());
                            } else {
                                response.addHeader(header.getKey(), header.getValue());
                            }
                        });
        if (closing) {
            response.setHeader("Connection", "close");
        }
        response.setContentLength(answer.body().length);
        state.endWork(skipping, clock.getAsLong());
        try {
            response.getNIOOutputStream().write(answer.body());
        } catch (IOException gone) {
            state.close();
        }
        response.resume();
    }

    private boolean append(NIOInputStream input, int maxBody) throws IOException {
        int available = input.available();
        if (answered.get()) {
            return false;
        }
        if (available == 0) {
            return true;
        }
        if (body.size() + available > maxBody) {
            refuseBody(NotRunReason.BODY_TOO_LARGE);
            return false;
        }
        if (!budget.take(available)) {
            refuseBody(NotRunReason.RING_FULL);
            return false;
        }
        reserve(available);
        byte[] part = new byte[available];
        int count = input.read(part);
        body.write(part, 0, Math.max(0, count));
        return true;
    }

    private synchronized void reserve(int bytes) {
        reserved += bytes;
    }

    private synchronized void release() {
        budget.release(reserved);
        reserved = 0;
    }
}
