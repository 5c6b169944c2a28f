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
final class BackendConnections {
    private final ChannelFactory channels;
    private final Consumer<Runnable> post;
    private final Listener listener;
    private volatile ByteBudget budget = ByteBudget.UNLIMITED;
    private final Map<Long, BackendConnection> connections = new HashMap<>();
    private Map<BackendId, InetSocketAddress> addresses = Map.of();

    /**
     * Creates an empty set of connections.
     *
     * @param channels opens connections
     * @param post runs an event on the router thread, from any thread
     * @param listener takes results, on the router thread
     */
    BackendConnections(ChannelFactory channels, Consumer<Runnable> post, Listener listener) {
        this.channels = channels;
        this.post = post;
        this.listener = listener;
    }

    /** Takes the results of connections, on the router thread. */
    interface Listener {
        /** The connection is open. */
        void onConnected(long connection, BackendId backend);

        /** The connection could not be opened. */
        void onConnectFailed(long connection, BackendId backend);

        /** An idle connection was closed by the backend server. */
        void onIdleClosed(long connection, BackendId backend);

        /** Bytes of a response arrived. */
        void onBytes(long connection);

        /** A complete response arrived. */
        void onResponse(Attempt attempt, HttpReply reply, boolean reusable);

        /** There will be no complete response; the connection is closed. */
        void onAttemptFailed(Attempt attempt, ChannelFailure failure, boolean partial);
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
    void setByteBudget(ByteBudget limit) {
        budget = limit;
    }

    int size() {
        return connections.size();
    }

    void updateAddresses(Map<BackendId, InetSocketAddress> known) {
        addresses = known;
    }

    void connect(long connection, BackendId backend) {
        BackendConnection link = new BackendConnection(backend);
        connections.put(connection, link);
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
        BackendConnection link = connections.get(attempt.connection());
        if (link == null || link.channel == null) {
            post.accept(
                    () ->
                            listener.onAttemptFailed(
                                    attempt, ChannelFailure.CLOSED_BEFORE_SEND, false));
            return;
        }
        link.busy = true;
        link.reportedBytes = link.channel.bytesRead();
        long before = link.reportedBytes;
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
        BackendConnection link = connections.remove(connection);
        if (link != null && link.channel != null) {
            link.channel.close();
        }
    }

    void closeAll() {
        connections.values().stream()
                .filter(link -> link.channel != null)
                .forEach(link -> link.channel.close());
        connections.clear();
    }

    /** Reports the connections on which bytes arrived since the last call. */
    void reportNewBytes() {
        connections.forEach(
                (connection, link) -> {
                    if (link.busy) {
                        long bytes = link.channel.bytesRead();
                        if (bytes != link.reportedBytes) {
                            link.reportedBytes = bytes;
                            listener.onBytes(connection);
                        }
                    }
                });
    }

    private void onOpened(long connection, BackendConnection link, HttpChannel channel) {
        if (connections.get(connection) != link) {
            if (channel != null) {
                channel.close();
            }
            return;
        }
        if (channel == null) {
            connections.remove(connection);
            listener.onConnectFailed(connection, link.backend);
            return;
        }
        link.channel = channel;
        channel.onIdleClose(() -> post.accept(() -> onIdleClosed(connection, link)));
        listener.onConnected(connection, link.backend);
    }

    private void onIdleClosed(long connection, BackendConnection link) {
        if (connections.get(connection) == link && !link.busy) {
            connections.remove(connection);
            listener.onIdleClosed(connection, link.backend);
        }
    }

    private void onDone(
            Attempt attempt,
            BackendConnection link,
            HttpReply reply,
            Throwable error,
            boolean reusable,
            boolean partial) {
        if (connections.get(attempt.connection()) != link) {
            return;
        }
        link.busy = false;
        if (error == null) {
            // From here on, the caller's connection counts the bytes.
            link.channel.releaseAnswer();
            if (!reusable) {
                link.channel.close();
            }
            listener.onResponse(attempt, reply, reusable);
        } else {
            connections.remove(attempt.connection());
            link.channel.close();
            listener.onAttemptFailed(attempt, failureOf(error), partial);
        }
    }

    private static ChannelFailure failureOf(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause instanceof ChannelException known
                ? known.failure()
                : ChannelFailure.BROKEN_ANSWER;
    }

    /** A connection, open or being opened. Confined to the router thread. */
    private static final class BackendConnection {
        private final BackendId backend;
        private HttpChannel channel;
        private boolean busy;
        private long reportedBytes;

        BackendConnection(BackendId backend) {
            this.backend = backend;
        }
    }
}
