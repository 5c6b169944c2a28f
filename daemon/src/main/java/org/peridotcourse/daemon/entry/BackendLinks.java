package org.peridotcourse.daemon.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.peridotcourse.BackendId;
import org.peridotcourse.daemon.http.ByteBudget;
import org.peridotcourse.daemon.http.ChannelException;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.http.ChannelFailure;
import org.peridotcourse.daemon.http.HttpCall;
import org.peridotcourse.daemon.http.HttpChannel;
import org.peridotcourse.daemon.http.HttpReply;

/**
 * The connections to backend servers by the numbers that the router gave them.
 *
 * <p>Confined to the router thread; results arrive there as events. A connection that was closed
 * here reports nothing any more, so a late response cannot reach any request.
 */
final class BackendLinks {
    private final ChannelFactory channels;
    private final Consumer<Runnable> post;
    private final Listener listener;
    private volatile ByteBudget budget = ByteBudget.UNLIMITED;
    private final Map<Long, Link> links = new HashMap<>();
    private Map<BackendId, InetSocketAddress> addresses = Map.of();

    /**
     * Creates an empty set of connections.
     *
     * @param channels opens connections
     * @param post runs an event on the router thread, from any thread
     * @param listener takes results, on the router thread
     */
    BackendLinks(ChannelFactory channels, Consumer<Runnable> post, Listener listener) {
        this.channels = channels;
        this.post = post;
        this.listener = listener;
    }

    /** Takes the results of connections, on the router thread. */
    interface Listener {
        /** The connection is open. */
        void connected(long connection, BackendId backend);

        /** The connection could not be opened. */
        void connectFailed(long connection, BackendId backend);

        /** An idle connection was closed by the backend server. */
        void idleClosed(long connection, BackendId backend);

        /** Bytes of a response arrived. */
        void bytes(long connection);

        /** A complete response arrived. */
        void replied(Attempt attempt, HttpReply reply, boolean reusable);

        /** There will be no complete response; the connection is closed. */
        void failed(Attempt attempt, ChannelFailure failure, boolean partial);
    }

    /**
     * A request on a connection.
     *
     * @param request the request
     * @param number the number of the attempt
     * @param connection the connection
     * @param backend the backend server
     */
    record Attempt(String request, int number, long connection, BackendId backend) {}

    /** Sets what bounds the bytes of responses on connections that are opened from now on. */
    void limitBytes(ByteBudget limit) {
        budget = limit;
    }

    int size() {
        return links.size();
    }

    void updateAddresses(Map<BackendId, InetSocketAddress> known) {
        addresses = known;
    }

    void connect(long connection, BackendId backend) {
        Link link = new Link(backend);
        links.put(connection, link);
        InetSocketAddress address = addresses.get(backend);
        if (address == null) {
            post.accept(() -> onOpened(connection, link, null));
            return;
        }
        channels.connect(address, budget)
                .whenComplete(
                        (channel, error) -> post.accept(() -> onOpened(connection, link, channel)));
    }

    void send(Attempt attempt, HttpCall call) {
        Link link = links.get(attempt.connection());
        if (link == null || link.channel == null) {
            post.accept(() -> listener.failed(attempt, ChannelFailure.CLOSED_BEFORE_SEND, false));
            return;
        }
        link.busy = true;
        link.seenBytes = link.channel.bytesRead();
        long before = link.seenBytes;
        HttpChannel channel = link.channel;
        channel.send(call)
                .whenComplete(
                        (reply, error) -> {
                            boolean reusable = channel.isIdle();
                            boolean partial = channel.bytesRead() > before;
                            post.accept(
                                    () -> onDone(attempt, link, reply, error, reusable, partial));
                        });
    }

    /** Closes a connection; a request on it reports nothing any more. */
    void close(long connection) {
        Link link = links.remove(connection);
        if (link != null && link.channel != null) {
            link.channel.close();
        }
    }

    void closeAll() {
        links.values().stream()
                .filter(link -> link.channel != null)
                .forEach(link -> link.channel.close());
        links.clear();
    }

    /** Reports the connections on which bytes arrived since the last call. */
    void observeBytes() {
        links.forEach(
                (connection, link) -> {
                    if (link.busy) {
                        long bytes = link.channel.bytesRead();
                        if (bytes != link.seenBytes) {
                            link.seenBytes = bytes;
                            listener.bytes(connection);
                        }
                    }
                });
    }

    private void onOpened(long connection, Link link, HttpChannel channel) {
        if (links.get(connection) != link) {
            if (channel != null) {
                channel.close();
            }
            return;
        }
        if (channel == null) {
            links.remove(connection);
            listener.connectFailed(connection, link.backend);
            return;
        }
        link.channel = channel;
        channel.onIdleClose(() -> post.accept(() -> onIdleClosed(connection, link)));
        listener.connected(connection, link.backend);
    }

    private void onIdleClosed(long connection, Link link) {
        if (links.get(connection) == link && !link.busy) {
            links.remove(connection);
            listener.idleClosed(connection, link.backend);
        }
    }

    private void onDone(
            Attempt attempt,
            Link link,
            HttpReply reply,
            Throwable error,
            boolean reusable,
            boolean partial) {
        if (links.get(attempt.connection()) != link) {
            return;
        }
        link.busy = false;
        if (error == null) {
            // From here on, the caller's connection counts the bytes.
            link.channel.releaseAnswer();
            if (!reusable) {
                link.channel.close();
            }
            listener.replied(attempt, reply, reusable);
        } else {
            links.remove(attempt.connection());
            link.channel.close();
            listener.failed(attempt, failureOf(error), partial);
        }
    }

    private static ChannelFailure failureOf(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause instanceof ChannelException known
                ? known.failure()
                : ChannelFailure.BROKEN_ANSWER;
    }

    /** A connection, open or being opened. Confined to the router thread. */
    private static final class Link {
        private final BackendId backend;
        private HttpChannel channel;
        private boolean busy;
        private long seenBytes;

        Link(BackendId backend) {
            this.backend = backend;
        }
    }
}
