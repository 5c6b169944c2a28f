package org.peridotcourse.bench;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.transport.TTransportException;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.Result;
import org.peridotcourse.ServiceId;
import org.peridotcourse.daemon.control.HostDuty;
import org.peridotcourse.daemon.control.Membership;
import org.peridotcourse.daemon.control.SnapshotHolder;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.peer.PeerClient;
import org.peridotcourse.daemon.peer.PeerServer;
import org.peridotcourse.daemon.platform.HttpHostList;
import org.peridotcourse.daemon.platform.HttpTableStore;
import org.peridotcourse.membership.Host;
import org.peridotcourse.membership.HostList;
import org.peridotcourse.membership.Peer;

/** Measures loopback calls of the daemon's clients. Subtracts the responder's CPU time. */
final class NetBench {
    private static final int MAX_BODY_BYTES = 8 << 20;

    private NetBench() {}

    /** Server for one connection that sends the same reply to every request. */
    private static final class Responder implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        final Thread thread = new Thread(this::serve, "responder");
        final byte[] reply;

        Responder(byte[] body) throws IOException {
            byte[] head =
                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                    + body.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
            reply = new byte[head.length + body.length];
            System.arraycopy(head, 0, reply, 0, head.length);
            System.arraycopy(body, 0, reply, head.length, body.length);
            thread.setDaemon(true);
            thread.start();
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        private void serve() {
            try (Socket socket = server.accept()) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                int newlines = 0;
                for (int next = in.read(); next >= 0; next = in.read()) {
                    newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
                    if (newlines == 2) {
                        out.write(reply);
                        out.flush();
                    }
                }
            } catch (IOException closed) {
                // The client closes its connection at the end of the measurement.
                return;
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private interface Call {
        Result<?> run();
    }

    private static double cpuMicros(Responder responder, int count, Call call) {
        for (int i = 0; i < count; i++) {
            check(call.run());
        }
        double begin =
                ResourceMeter.processCpuMicros() - ResourceMeter.cpuMicrosOf(responder.thread);
        for (int i = 0; i < count; i++) {
            check(call.run());
        }
        double end = ResourceMeter.processCpuMicros() - ResourceMeter.cpuMicrosOf(responder.thread);
        return (end - begin) / count;
    }

    private static void check(Result<?> result) {
        if (!result.isOk()) {
            throw new IllegalArgumentException("a call failed: " + result);
        }
    }

    /** Returns the CPU time of one read of a row, in microseconds. */
    static double rowReadMicros(int count) throws IOException {
        byte[] body = "{\"commit\":17,\"row\":null}".getBytes(StandardCharsets.US_ASCII);
        try (ChannelFactory channels = new ChannelFactory(MAX_BODY_BYTES);
                Responder responder = new Responder(body);
                HttpTableStore store =
                        new HttpTableStore(
                                channels, responder.address(), 5_000, ConfigBench.disabledLog())) {
            return cpuMicros(responder, count, () -> store.row("leases", "acceptor"));
        }
    }

    /** Cost of a read of the host list: CPU time, and bytes of the reply with its headers. */
    record HostListCost(double micros, long wireBytes) {}

    /** Measures reads of a host list with a number of hosts. */
    static HostListCost measureHostList(int hosts, int count) throws IOException {
        byte[] body = hostListJson(hosts);
        try (ChannelFactory channels = new ChannelFactory(MAX_BODY_BYTES);
                Responder responder = new Responder(body);
                HttpHostList list =
                        new HttpHostList(
                                channels, responder.address(), 5_000, ConfigBench.disabledLog())) {
            double micros = cpuMicros(responder, count, list::hosts);
            return new HostListCost(micros, body.length + HttpOverhead.BYTES);
        }
    }

    /** Returns the bytes of the host list and of the state derived from it. */
    static long hostStateBytes(int hosts) {
        Membership membership =
                new Membership(
                        new Peer(DaemonId.of("d-1"), DataCentreId.of("dc-1"), "d-1", 1),
                        new SnapshotHolder(),
                        ConfigBench.disabledLog());
        long before = ResourceMeter.liveBytes();
        new HostDuty(() -> Result.ok(createHostList(hosts)), membership, () -> 1_000).step(1_000);
        long state = ResourceMeter.liveBytes() - before;
        if (membership.backends().isEmpty()) {
            throw new IllegalArgumentException("the host list was not applied");
        }
        return state;
    }

    private static HostList createHostList(int count) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean worker = i % 2 == 0;
            hosts.add(
                    new Host(
                            "host-" + i,
                            worker ? Host.Role.WORKER : Host.Role.BACKEND,
                            DataCentreId.of("dc-" + (1 + i % 5)),
                            "rack-" + i / 8,
                            "10.20." + i / 250 + "." + i % 250 + ":8080",
                            false,
                            worker
                                    ? Optional.empty()
                                    : Optional.of(
                                            new Host.Serving(ServiceId.of("stepdesk"), 8, 64)),
                            Resources.of(32_000, 125_000, 1)));
        }
        return new HostList(900, List.copyOf(hosts), 0);
    }

    private static byte[] hostListJson(int hosts) {
        StringBuilder json = new StringBuilder("{\"ageMillis\":900,\"hosts\":[");
        for (int i = 0; i < hosts; i++) {
            json.append(i == 0 ? "" : ",").append("{\"host\":\"host-").append(i);
            json.append("\",\"role\":\"").append(i % 2 == 0 ? "worker" : "backend");
            json.append("\",\"dataCentre\":\"dc-").append(1 + i % 5);
            json.append("\",\"rack\":\"rack-").append(i / 8);
            json.append("\",\"address\":\"10.20.").append(i / 250).append('.').append(i % 250);
            json.append(":8080\",\"state\":\"live\"");
            json.append(
                    i % 2 == 0
                            ? ",\"milliCores\":32000,\"memoryMiB\":125000,\"accelerators\":1}"
                            : ",\"service\":\"stepdesk\",\"slots\":8,\"connections\":64}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns the CPU time of one exchange, client and server together, in microseconds. */
    static double exchangeMicros(ConfigBench bench, int count)
            throws IOException, TTransportException {
        var request = bench.unchangedRequest();
        try (PeerServer server =
                        new PeerServer(
                                new InetSocketAddress("127.0.0.1", 0),
                                bench::reply,
                                ConfigBench.disabledLog());
                PeerClient client = new PeerClient(1_000, 5_000)) {
            String address = "127.0.0.1:" + server.address().getPort();
            for (int i = 0; i < count; i++) {
                check(client.exchange(address, request));
            }
            double begin = ResourceMeter.processCpuMicros();
            for (int i = 0; i < count; i++) {
                check(client.exchange(address, request));
            }
            return (ResourceMeter.processCpuMicros() - begin) / count;
        }
    }
}
