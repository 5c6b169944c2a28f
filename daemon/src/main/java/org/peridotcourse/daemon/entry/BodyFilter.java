package org.peridotcourse.daemon.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
import org.peridotcourse.routing.NotRunReason;

/**
 * Filter above the HTTP codec that passes a request on once its body is complete, and refuses
 * bodies that are too large.
 *
 * <p>Grizzly's asynchronous body reading is not used: after a body that arrived in a separate
 * packet, it did not read the next request of the connection. It is thread-safe.
 */
final class BodyFilter extends BaseFilter {
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final int maxBodyBytes;
    private final BodyBudget budget;
    private final RequestIds ids;
    private final LongSupplier clock;

    BodyFilter(int maxBodyBytes, BodyBudget budget, RequestIds ids, LongSupplier clock) {
        this.maxBodyBytes = maxBodyBytes;
        this.budget = budget;
        this.ids = ids;
        this.clock = clock;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        CallerConnection state = CallerConnectionFilter.of(context.getConnection());
        if (state == null || state.isRefused()) {
            return context.getStopAction();
        }
        HttpContent content = context.getMessage();
        HttpRequestPacket head = (HttpRequestPacket) content.getHttpHeader();
        int size = content.getContent().remaining();
        if (head.getContentLength() > maxBodyBytes || size > maxBodyBytes) {
            return refuse(context, state, NotRunReason.BODY_TOO_LARGE, 0);
        }
        if (!state.reserve(size, budget)) {
            return refuse(
                    context, state, NotRunReason.BUFFERS_FULL, EntryHandler.RETRY_AFTER_MILLIS);
        }
        if (content.isLast()) {
            return context.getInvokeAction();
        }
        if (size == 0 && "100-continue".equalsIgnoreCase(head.getHeader("Expect"))) {
            context.getConnection().write(Buffers.wrap(null, CONTINUE.clone()));
        }
        return context.getStopAction(content);
    }

    private NextAction refuse(
            FilterChainContext context,
            CallerConnection state,
            NotRunReason reason,
            long retryAfterMillis) {
        CallerResponse response = Responses.notRun(ids.next(), reason, retryAfterMillis);
        state.refuse(response, clock.getAsLong());
        return context.getStopAction();
    }
}
