package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.utils.DelayedExecutor;
import org.peridotcourse.routing.NotRunReason;

/**
 * HTTP codec that answers a broken head or body with a typed refusal. It is thread-safe.
 *
 * <p>After the refusal the connection is closed, because it is not known where the next request
 * begins.
 */
final class CallerCodec extends HttpServerFilter {
    private static final int MAX_HEADERS = 200;
    private static final String KEEP_OPEN = "peridotcourse.keep-open";

    private final int maxHeadBytes;
    private final BiFunction<NotRunReason, String, CallerResponse> refusalFactory;
    private final LongSupplier clock;

    /**
     * Creates a codec.
     *
     * @param maxHead the largest head in bytes
     * @param executor serves keep-alive time-outs
     * @param refusals makes a refusal from a reason and a detail
     * @param clock monotonic milliseconds
     */
    CallerCodec(
            int maxHead,
            DelayedExecutor executor,
            BiFunction<NotRunReason, String, CallerResponse> refusals,
            LongSupplier clock) {
        super(true, maxHead, null, unlimited(), executor, MAX_HEADERS, MAX_HEADERS);
        this.maxHeadBytes = maxHead;
        this.refusalFactory = refusals;
        this.clock = clock;
        setAllowPayloadForUndefinedHttpMethods(true);
    }

    /**
     * Connections are kept for any number of requests; Grizzly's limit would close a connection
     * without a response. The guard closes idle connections.
     */
    private static KeepAlive unlimited() {
        KeepAlive keepAlive = new KeepAlive();
        keepAlive.setMaxRequestsCount(-1);
        keepAlive.setIdleTimeoutInSeconds(-1);
        return keepAlive;
    }

    /** Ignores offers of another protocol; otherwise Grizzly would treat the body as endless. */
    @Override
    protected void onHttpHeadersParsed(
            HttpHeader head, MimeHeaders headers, FilterChainContext context) {
        headers.removeHeader("Upgrade");
        head.getUpgradeDC().recycle();
        super.onHttpHeadersParsed(head, headers, context);
    }

    /** Lets a connection stay open after a response that Grizzly would close it for. */
    static void keepOpen(HttpRequestPacket request) {
        request.setAttribute(KEEP_OPEN, Boolean.TRUE);
    }

    /**
     * Grizzly closes a connection after each 503, but a refused caller that has to connect again
     * makes an overload worse. The request was read whole, so the next one begins after it.
     */
    @Override
    protected void onInitialLineEncoded(HttpHeader head, FilterChainContext context) {
        super.onInitialLineEncoded(head, context);
        HttpResponsePacket response = (HttpResponsePacket) head;
        if (response.getStatus() == 503 && response.getRequest().getAttribute(KEEP_OPEN) != null) {
            response.getProcessingState().setKeepAlive(true);
            response.getHeaders().removeHeader("Connection");
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
