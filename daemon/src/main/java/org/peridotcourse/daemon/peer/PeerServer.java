package org.peridotcourse.daemon.peer;

import java.net.InetSocketAddress;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TNonblockingServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.wire.Peer;

/**
 * Answers messages of other daemons over framed Thrift on one thread.
 *
 * <p>The handler runs on that thread and must not block. A frame above the limit closes its
 * connection, and the total size of frames being read is limited too. It is thread-safe.
 */
public final class PeerServer implements AutoCloseable {
    /** Largest frame; it holds a full copy of several thousand rows. */
    public static final int MAX_FRAME_BYTES = 4 << 20;

    /** Largest total size of the frames that are being read. */
    private static final long MAX_READ_BUFFER_BYTES = 2L * MAX_FRAME_BYTES;

    private final TNonblockingServerSocket socket;
    private final TNonblockingServer server;
    private final Thread thread;
    private final InetSocketAddress address;
    private volatile boolean closing;

    /**
     * Creates a server and starts it.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @param handler answers the messages; it is called on the server's thread
     * @param log receives {@link PeerEvent} records
     * @throws TTransportException if the address cannot be bound
     */
    public PeerServer(InetSocketAddress address, Peer.Iface handler, EventLog log)
            throws TTransportException {
        this.socket =
                new TNonblockingServerSocket(
                        new TNonblockingServerSocket.NonblockingAbstractServerSocketArgs()
                                .bindAddr(address)
                                .maxFrameSize(MAX_FRAME_BYTES));
        TNonblockingServer.Args args = new TNonblockingServer.Args(socket);
        args.processor(new Peer.Processor<>(handler));
        args.protocolFactory(new TCompactProtocol.Factory());
        args.transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES));
        args.maxReadBufferBytes = MAX_READ_BUFFER_BYTES;
        this.server = new TNonblockingServer(args);
        this.address = new InetSocketAddress(address.getAddress(), socket.getPort());
        this.thread = new Thread(() -> serve(log), "peer-server");
        thread.setDaemon(true);
        thread.start();
        log.event(PeerEvent.LISTENING).with("address", this.address).write();
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address with its actual port
     */
    public InetSocketAddress address() {
        return address;
    }

    /** Closes all connections and waits for the thread. */
    @Override
    public void close() {
        closing = true;
        server.stop();
        socket.close();
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(EventLog log) {
        try {
            server.serve();
        } catch (RuntimeException unexpected) {
            log.event(PeerEvent.SERVER_FAILED)
                    .with("address", address)
                    .with("error", unexpected)
                    .write();
            return;
        }
        if (!closing) {
            log.event(PeerEvent.SERVER_FAILED)
                    .with("address", address)
                    .with("error", "the server ended")
                    .write();
        }
    }
}
