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
 * Holds the connections to backend servers, keyed by the number that the router assigned to each.
 *
 * <p>Confined to the router thread; results are posted to it as events. After {@link #close}, the
 * listener receives no event of the connection, so that a late response cannot reach any request.
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
     * @param post posts an event to the router thread; called on any thread
     * @param listener receives results, on the router thread
     */
    BackendConnections(ChannelFactory channels, Consumer<Runnable> post, Listener listener) {
        this.channels = channels;
        this.post = post;
        this.listener = listener;
    }

    /** Receives the results of connections, on the router thread. */
    interface Listener {
        /** Called when a connection is open. */
        void onConnected(long connection, BackendId backend);

        /** Called when a connection could not be opened. */
        void onConnectFailed(long connection, BackendId backend);

        /** Called when a backend server closed an idle connection. */
        void onIdleClosed(long connection, BackendId backend);

        /** Called when bytes of a response arrived. */
        void onBytes(long connection);

        /** Called when a complete response arrived. */
        void onResponse(Attempt attempt, HttpReply reply, boolean reusable);

        /** Called when an attempt failed without a complete response; its connection is closed. */
        void onAttemptFailed(Attempt attempt, ChannelFailure failure, boolean partial);
    }

    /**
     * One attempt to send a request on a connection.
     *
     * @param request the request
     * @param number the number of the attempt
     * @param connection the connection
     * @param backend the backend server
     */
    record Attempt(String request, int number, long connection, BackendId backend) {}

    /** Sets the byte budget for responses on connections that are opened after this call. */
    void setByteBudget(ByteBudget limit) {
        budget = limit;
    }

    int size() {
        return connections.size();
    }

    void updateAddresses(Map<BackendId, InetSocketAddress> next) {
        addresses = next;
    }

    void connect(long connection, BackendId backend) {
        BackendConnection backendConnection = new BackendConnection(backend);
        connections.put(connection, backendConnection);
        InetSocketAddress address = addresses.get(backend);
        if (address == null) {
            post.accept(() -> onOpened(connection, backendConnection, null));
            return;
        }
        channels.connect(address, budget)
                .whenComplete(
                        (channel, error) ->
                                post.accept(
                                        () -> onOpened(connection, backendConnection, channel)));
    }

    void send(Attempt attempt, HttpCall call) {
        BackendConnection backendConnection = connections.get(attempt.connection());
        if (backendConnection == null || backendConnection.channel == null) {
            post.accept(
                    () ->
                            listener.onAttemptFailed(
                                    attempt, ChannelFailure.CLOSED_BEFORE_SEND, false));
            return;
        }
        backendConnection.busy = true;
        backendConnection.reportedBytes = backendConnection.channel.bytesRead();
        long bytesBefore = backendConnection.reportedBytes;
        HttpChannel channel = backendConnection.channel;
        channel.send(call)
                .whenComplete(
                        (reply, error) -> {
                            boolean reusable = channel.isIdle();
                            boolean partial = channel.bytesRead() > bytesBefore;
                            post.accept(
                                    () ->
                                            onDone(
                                                    attempt,
                                                    backendConnection,
                                                    reply,
                                                    error,
                                                    reusable,
                                                    partial));
                        });
    }

    /** Closes a connection; the result of a request on it is not reported. */
    void close(long connection) {
        BackendConnection backendConnection = connections.remove(connection);
        if (backendConnection != null && backendConnection.channel != null) {
            backendConnection.channel.close();
        }
    }

    void closeAll() {
        connections.values().stream()
                .filter(backendConnection -> backendConnection.channel != null)
                .forEach(backendConnection -> backendConnection.channel.close());
        connections.clear();
    }

    /** Notifies the listener of connections on which response bytes arrived since the last call. */
    void reportNewBytes() {
        connections.forEach(
                (connection, backendConnection) -> {
                    if (backendConnection.busy) {
                        long bytes = backendConnection.channel.bytesRead();
                        if (bytes != backendConnection.reportedBytes) {
                            backendConnection.reportedBytes = bytes;
                            listener.onBytes(connection);
                        }
                    }
                });
    }

    private void onOpened(
            long connection, BackendConnection backendConnection, HttpChannel channel) {
        if (connections.get(connection) != backendConnection) {
            if (channel != null) {
                channel.close();
            }
            return;
        }
        if (channel == null) {
            connections.remove(connection);
            listener.onConnectFailed(connection, backendConnection.backend);
            return;
        }
        backendConnection.channel = channel;
        channel.onIdleClose(() -> post.accept(() -> onIdleClosed(connection, backendConnection)));
        listener.onConnected(connection, backendConnection.backend);
    }

    private void onIdleClosed(long connection, BackendConnection backendConnection) {
        if (connections.get(connection) == backendConnection && !backendConnection.busy) {
            connections.remove(connection);
            listener.onIdleClosed(connection, backendConnection.backend);
        }
    }

    private void onDone(
            Attempt attempt,
            BackendConnection backendConnection,
            HttpReply reply,
            Throwable error,
            boolean reusable,
            boolean partial) {
        if (connections.get(attempt.connection()) != backendConnection) {
            return;
        }
        backendConnection.busy = false;
        if (error == null) {
            // From here on, the bytes are counted for the caller's connection.
            backendConnection.channel.releaseResponseBytes();
            if (!reusable) {
                backendConnection.channel.close();
            }
            listener.onResponse(attempt, reply, reusable);
        } else {
            connections.remove(attempt.connection());
            backendConnection.channel.close();
            listener.onAttemptFailed(attempt, failureOf(error), partial);
        }
    }

    private static ChannelFailure failureOf(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause instanceof ChannelException failed
                ? failed.failure()
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
