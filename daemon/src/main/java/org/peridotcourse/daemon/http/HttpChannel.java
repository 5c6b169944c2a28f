package org.peridotcourse.daemon.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;

/**
 * One client connection that carries one request at a time.
 *
 * <p>A response is delivered only when it is complete, that is with its full content length or its
 * last chunk. A channel whose request failed in any way is closed and never reused, so that a late
 * response cannot be mistaken for the response to the next request. It is thread-safe.
 */
public final class HttpChannel {
    private final Connection<?> connection;
    private final InetSocketAddress address;
    private final int maxBodyBytes;
    private final ByteBudget budget;

    private CompletableFuture<HttpReply> pending;
    private ByteArrayOutputStream body;
    private Runnable idleCloseListener;
    private boolean closed;
    private boolean keepAlive = true;
    private long bytesRead;
    private long reservedBytes;

    HttpChannel(
            Connection<?> connection,
            InetSocketAddress address,
            int maxBodyBytes,
            ByteBudget budget) {
        this.budget = budget;
        this.connection = connection;
        this.address = address;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Returns the address of the server.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Tells whether another request may be sent now.
     *
     * @return true if the channel is open and no request is outstanding
     */
    public synchronized boolean isIdle() {
        return !closed && pending == null && connection.isOpen();
    }

    /**
     * Returns the number of body bytes received so far. A caller can compare two readings to find
     * out whether the connection still receives data.
     *
     * @return the number of bytes, never decreasing
     */
    public synchronized long bytesRead() {
        return bytesRead;
    }

    /**
     * Sets the listener that is called when the server closes the connection while no request is
     * outstanding. If the channel is already closed, the listener is called at once.
     *
     * @param listener called at most once, on a selector thread or, if the channel is already
     *     closed, on the calling thread
     */
    public void onIdleClose(Runnable listener) {
        boolean alreadyClosed;
        synchronized (this) {
            alreadyClosed = closed;
            idleCloseListener = alreadyClosed ? null : listener;
        }
        if (alreadyClosed) {
            listener.run();
        }
    }

    /**
     * Sends a request. The future completes on a selector thread, so its dependents must not block.
     *
     * @param call the request
     * @return a future of the complete response; it fails with a {@link ChannelException}
     */
    public CompletableFuture<HttpReply> send(HttpCall call) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        synchronized (this) {
            if (closed || pending != null || !connection.isOpen()) {
                reply.completeExceptionally(
                        new ChannelException(ChannelFailure.CLOSED_BEFORE_SEND));
                return reply;
            }
            releaseResponseBytes();
            pending = reply;
            body = new ByteArrayOutputStream();
        }
        connection.write(toPacket(call));
        return reply;
    }

    /**
     * Abandons the outstanding request, if any, and closes the connection.
     *
     * @param reason the failure of the outstanding request
     */
    public void abandon(ChannelFailure reason) {
        finish(reason);
    }

    /**
     * Returns the bytes of the last response to the budget. The caller calls it when it no longer
     * needs the response; sending the next request and closing the channel do the same.
     */
    public synchronized void releaseResponseBytes() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }

    /** Closes the connection. An outstanding request fails with {@code ABANDONED}. */
    public void close() {
        finish(ChannelFailure.ABANDONED);
    }

    void onContent(HttpContent content) {
        CompletableFuture<HttpReply> completed = null;
        HttpReply reply = null;
        boolean tooLarge = false;
        synchronized (this) {
            if (pending == null) {
                closed = true;
            } else {
                tooLarge = !append(content.getContent());
                if (!tooLarge && content.isLast() && isDelimited(content)) {
                    reply = toReply((HttpResponsePacket) content.getHttpHeader());
                    completed = pending;
                    pending = null;
                    body = null;
                }
            }
        }
        if (tooLarge) {
            finish(ChannelFailure.BROKEN_ANSWER);
        } else if (completed != null) {
            completeReply(completed, reply);
        } else if (isClosed()) {
            connection.closeSilently();
        }
    }

    void onClose() {
        Runnable listener;
        synchronized (this) {
            listener = pending == null ? idleCloseListener : null;
            idleCloseListener = null;
        }
        finish(ChannelFailure.ENDED_EARLY);
        if (listener != null) {
            listener.run();
        }
    }

    void onException() {
        finish(ChannelFailure.BROKEN_ANSWER);
    }

    private void completeReply(CompletableFuture<HttpReply> completed, HttpReply reply) {
        if (!keepAlive) {
            close();
        }
        completed.complete(reply);
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    /**
     * Tells whether the response has a content length, is chunked or has no body. The end of any
     * other response is the end of the connection, so a truncated one looks complete.
     */
    private static boolean isDelimited(HttpContent content) {
        HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
        return head.isChunked() || head.getContentLength() >= 0 || !head.isExpectContent();
    }

    private boolean append(Buffer part) {
        int size = part.remaining();
        bytesRead += size;
        if (body.size() + size > maxBodyBytes || !budget.tryReserve(size)) {
            return false;
        }
        reservedBytes += size;
        byte[] bytes = new byte[size];
        part.get(bytes);
        body.write(bytes, 0, size);
        return true;
    }

    private HttpReply toReply(HttpResponsePacket head) {
        Map<String, List<String>> headers = new HashMap<>();
        MimeHeaders mime = head.getHeaders();
        for (int i = 0; i < mime.size(); i++) {
            String name = mime.getName(i).toString().toLowerCase(Locale.ROOT);
            headers.computeIfAbsent(name, key -> new ArrayList<>(1))
                    .add(mime.getValue(i).toString());
        }
        List<String> connectionHeader = headers.getOrDefault("connection", List.of());
        keepAlive = connectionHeader.stream().noneMatch("close"::equalsIgnoreCase);
        return new HttpReply(head.getStatus(), headers, body.toByteArray());
    }

    private HttpContent toPacket(HttpCall call) {
        HttpRequestPacket.Builder builder =
                HttpRequestPacket.builder()
                        .method(Method.valueOf(call.method()))
                        .uri(call.target())
                        .protocol(Protocol.HTTP_1_1)
                        .header("Host", address.getHostString() + ":" + address.getPort())
                        .contentLength(call.body().length);
        call.headers().forEach(builder::header);
        return builder.build()
                .httpContentBuilder()
                .content(Buffers.wrap(null, call.body()))
                .last(true)
                .build();
    }

    private void finish(ChannelFailure reason) {
        CompletableFuture<HttpReply> failed;
        synchronized (this) {
            closed = true;
            releaseResponseBytes();
            idleCloseListener = null;
            failed = pending;
            pending = null;
            body = null;
        }
        connection.closeSilently();
        if (failed != null) {
            failed.completeExceptionally(new ChannelException(reason));
        }
    }
}
