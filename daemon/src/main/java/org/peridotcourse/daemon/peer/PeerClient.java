package org.peridotcourse.daemon.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.http.HostPort;
import org.peridotcourse.wire.ExchangeReply;
import org.peridotcourse.wire.ExchangeRequest;
import org.peridotcourse.wire.Peer;

/**
 * Sends messages to other daemons over framed Thrift, with one keep-alive connection per daemon.
 *
 * <p>A connection whose exchange failed is closed. If the connection had been reused, the message
 * is sent once more over a new one, because the other daemon may have been restarted; after a
 * time-out it is not sent again. Confined to one thread.
 */
public final class PeerClient implements PeerTransport, AutoCloseable {
    private static final int MAX_RECURSION_DEPTH = 16;

    private final int connectTimeoutMillis;
    private final int replyTimeoutMillis;
    private final Map<String, TTransport> connections = new HashMap<>();

    /**
     * Creates a client without connections.
     *
     * @param connectTimeoutMillis the longest time to open a connection
     * @param replyTimeoutMillis the longest wait for more bytes of a reply
     */
    public PeerClient(int connectTimeoutMillis, int replyTimeoutMillis) {
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.replyTimeoutMillis = replyTimeoutMillis;
    }

    @Override
    public Result<ExchangeReply> exchange(String address, ExchangeRequest request) {
        boolean reused = connections.containsKey(address);
        try {
            return Result.ok(send(address, request));
        } catch (TTransportException broken) {
            closeConnection(address);
            if (reused && broken.getType() != TTransportException.TIMED_OUT) {
                return sendOnNewConnection(address, request);
            }
            return Result.failed(PeerFailure.UNREACHABLE);
        } catch (TException malformed) {
            closeConnection(address);
            return Result.failed(PeerFailure.PROTOCOL);
        }
    }

    @Override
    public void close() {
        connections.values().forEach(TTransport::close);
        connections.clear();
    }

    /**
     * Closes the connections to all daemons except the given ones.
     *
     * @param addresses the addresses of the daemons whose connections stay open
     */
    public void retainConnections(Collection<String> addresses) {
        connections
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean removed = !addresses.contains(entry.getKey());
                            if (removed) {
                                entry.getValue().close();
                            }
                            return removed;
                        });
    }

    private Result<ExchangeReply> sendOnNewConnection(String address, ExchangeRequest request) {
        try {
            return Result.ok(send(address, request));
        } catch (TException failed) {
            closeConnection(address);
            return Result.failed(PeerFailure.UNREACHABLE);
        }
    }

    private ExchangeReply send(String address, ExchangeRequest request) throws TException {
        TTransport transport = connections.get(address);
        if (transport == null) {
            transport = open(address);
            connections.put(address, transport);
        }
        return new Peer.Client(new TCompactProtocol(transport)).exchange(request);
    }

    private TTransport open(String address) throws TTransportException {
        InetSocketAddress target =
                HostPort.parseUnresolved(address)
                        .orElseThrow(
                                () ->
                                        new TTransportException(
                                                TTransportException.NOT_OPEN,
                                                "not an address: " + address));
        TConfiguration limits =
                new TConfiguration(
                        PeerServer.MAX_FRAME_BYTES,
                        PeerServer.MAX_FRAME_BYTES,
                        MAX_RECURSION_DEPTH);
        TSocket socket =
                new TSocket(
                        limits,
                        target.getHostString(),
                        target.getPort(),
                        replyTimeoutMillis,
                        connectTimeoutMillis);
        TTransport framed = new TFramedTransport(socket, PeerServer.MAX_FRAME_BYTES);
        framed.open();
        return framed;
    }

    private void closeConnection(String address) {
        TTransport transport = connections.remove(address);
        if (transport != null) {
            transport.close();
        }
    }
}
