package org.peridotcourse.daemon.http;

import java.io.IOException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Passes the content that the HTTP client filter parsed to the {@link HttpChannel} of the
 * connection. It is stateless and thread-safe.
 */
final class ChannelFilter extends BaseFilter {
    private static final Attribute<HttpChannel> CHANNEL =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("peridotcourse.channel");

    static void attach(Connection<?> connection, HttpChannel channel) {
        CHANNEL.set(connection, channel);
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        HttpChannel channel = CHANNEL.get(context.getConnection());
        if (channel != null) {
            channel.onContent((HttpContent) context.getMessage());
        }
        return context.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) throws IOException {
        HttpChannel channel = CHANNEL.get(context.getConnection());
        if (channel != null) {
            channel.onClose();
        }
        return context.getInvokeAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext context, Throwable error) {
        HttpChannel channel = CHANNEL.get(context.getConnection());
        if (channel != null) {
            channel.onException();
        }
    }
}
