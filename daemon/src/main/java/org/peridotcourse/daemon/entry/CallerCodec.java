package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.utils.DelayedExecutor;
import org.peridotcourse.routing.NotRunReason;

/**
 * HTTP codec that answers a malformed head or body with a typed refusal. It is thread-safe.
 *
 * <p>The connection is closed after the refusal, because the start of the next request is unknown.
 */
final class CallerCodec extends HttpServerFilter {
    private static final int MAX_HEADERS = 200;
    private static final String KEEP_OPEN = "peridotcourse.keep-open";

    private final int maxHeadBytes;
    private final BiFunction<NotRunReason, String, CallerResponse> refusalFactory;
    private final BodyBudget budget;
    private final LongSupplier clock;

    /**
     * Creates a codec.
     *
     * @param maxHeadBytes the maximum size of a head, in bytes
     * @param executor runs keep-alive time-outs
     * @param refusalFactory makes a refusal from a reason and a detail
     * @param budget counts the bytes of pipelined requests
     * @param clock monotonic milliseconds
     */
    CallerCodec(
            int maxHeadBytes,
            DelayedExecutor executor,
            BiFunction<NotRunReason, String, CallerResponse> refusalFactory,
            BodyBudget budget,
            LongSupplier clock) {
        super(true, maxHeadBytes, null, unlimited(), executor, MAX_HEADERS, MAX_HEADERS);
        this.maxHeadBytes = maxHeadBytes;
        this.refusalFactory = refusalFactory;
        this.budget = budget;
        this.clock = clock;
        setAllowPayloadForUndefinedHttpMethods(true);
    }

    /**
     * Refuses a first line that is no request line, for which Grizzly would wait for more.
     *
     * <p>Grizzly also calls this with the bytes of the next pipelined request, which it keeps after
     * each request. It does so at any read event, even if the request before is still processed,
     * and it cannot append to the bytes that it keeps.
     */
    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        CallerConnection state = CallerConnectionFilter.of(context.getConnection());
        Buffer buffer = context.getMessage();
        if (state == null || state.isRefused() || state.holdFirst(buffer, budget)) {
            return context.getStopAction();
        }
        FirstLine line = FirstLine.of(buffer);
        if (line != FirstLine.BLANK
                && state.onBytes(buffer.remaining(), clock.getAsLong())
                && line == FirstLine.MALFORMED) {
            NotRunReason reason = NotRunReason.MALFORMED;
            state.refuse(refusalFactory.apply(reason, reason.message()), clock.getAsLong());
            return context.getStopAction();
        }
        return super.handleRead(context);
    }

    /** What the first line that is not blank looks like. */
    private enum FirstLine {
        BLANK,
        POSSIBLE,
        MALFORMED;

        static FirstLine of(Buffer buffer) {
            int spaces = 0;
            boolean hasText = false;
            for (int i = buffer.position(); i < buffer.limit(); i++) {
                byte next = buffer.get(i);
                if (next == '\n' && hasText) {
                    return spaces >= 2 ? POSSIBLE : MALFORMED;
                }
                spaces += next == ' ' ? 1 : 0;
                hasText |= next != ' ' && next != '\r' && next != '\n';
            }
            return hasText ? POSSIBLE : BLANK;
        }
    }

    /**
     * Allows any number of requests on a connection; at its limit, Grizzly would close the
     * connection without a response. {@link CallerConnectionFilter} closes idle connections.
     */
    private static KeepAlive unlimited() {
        KeepAlive keepAlive = new KeepAlive();
        keepAlive.setMaxRequestsCount(-1);
        keepAlive.setIdleTimeoutInSeconds(-1);
        return keepAlive;
    }

    /**
     * Ignores requests to upgrade the protocol; otherwise Grizzly would treat the body as endless.
     */
    @Override
    protected void onHttpHeadersParsed(
            HttpHeader head, MimeHeaders headers, FilterChainContext context) {
        headers.removeHeader("Upgrade");
        head.getUpgradeDC().recycle();
        super.onHttpHeadersParsed(head, headers, context);
    }

    /**
     * Keeps the connection of a request open after a 503 response, where Grizzly would close it.
     */
    static void keepOpen(HttpRequestPacket request) {
        request.setAttribute(KEEP_OPEN, Boolean.TRUE);
    }

    /**
     * Grizzly closes a connection after each 503, but refused callers that have to reconnect make
     * an overload worse. The request was read completely, so that the next one begins right after
     * it. After the last response of a connection, {@link CallerConnection} closes it, since
     * Grizzly would close it with bytes unread and process pipelined requests after that.
     */
    @Override
    protected void onInitialLineEncoded(HttpHeader head, FilterChainContext context) {
        super.onInitialLineEncoded(head, context);
        HttpResponsePacket response = (HttpResponsePacket) head;
        if (response.getStatus() == 503 && response.getRequest().getAttribute(KEEP_OPEN) != null) {
            response.getProcessingState().setKeepAlive(true);
            response.getHeaders().removeHeader("Connection");
        } else if (!response.getProcessingState().isKeepAlive()) {
            response.getProcessingState().setKeepAlive(true);
            CallerConnectionFilter.of(context.getConnection()).onLastResponse(clock.getAsLong());
        }
    }

    @Override
    protected void onHttpHeaderError(HttpHeader head, FilterChainContext context, Throwable cause)
            throws IOException {
        refuse(context, cause);
    }

    @Override
    protected void onHttpContentError(HttpHeader head, FilterChainContext context, Throwable cause)
            throws IOException {
        refuse(context, cause);
    }

    private void refuse(FilterChainContext context, Throwable cause) {
        Connection<?> connection = context.getConnection();
        CallerConnection state = CallerConnectionFilter.of(connection);
        if (state == null) {
            connection.closeSilently();
            return;
        }
        boolean tooLarge =
                state.headBytes() > maxHeadBytes || String.valueOf(cause).contains("large");
        NotRunReason reason = tooLarge ? NotRunReason.HEAD_TOO_LARGE : NotRunReason.MALFORMED;
        state.refuse(refusalFactory.apply(reason, reason.message()), clock.getAsLong());
    }
}
