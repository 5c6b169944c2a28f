package org.peridotcourse.daemon.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.peer.PeerFailure;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.StoreFailure;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;
import org.peridotcourse.membership.Peer;
import org.peridotcourse.wire.ExchangeReply;
import org.peridotcourse.wire.ExchangeRequest;

/**
 * Simulates the daemons of several data centres on a virtual clock. They share one table service,
 * and the bytes that they transfer are counted.
 */
final class Cluster {
    private static final int FRAME_HEADER_BYTES = 4;

    final FakeTable table = new FakeTable();
    final List<Node> nodes = new ArrayList<>();
    final Set<String> partitionedDataCentres = new HashSet<>();
    final EventLog log = new EventLog(System.getLogger("cluster"), new DecisionRing(1));
    long nowMillis = 1_000_000;
    long storeBytes;
    long peerBytes;
    long crossRegionBytes;
    Set<String> remoteDataCentres = Set.of();

    static Peer peer(String name, String dataCentre, long incarnation) {
        return new Peer(DaemonId.of(name), DataCentreId.of(dataCentre), name + ":1", incarnation);
    }

    Node add(String name, String dataCentre, long incarnation) {
        Node node = new Node(peer(name, dataCentre, incarnation));
        nodes.add(node);
        return node;
    }

    /**
     * Advances the clock by one second, in which the duties of each running daemon make one step.
     */
    void runRound() {
        long end = nowMillis + ConfigDuty.PERIOD_MILLIS;
        long stepGapMillis = Math.max(1, ConfigDuty.PERIOD_MILLIS / Math.max(1, nodes.size()));
        for (Node node : List.copyOf(nodes)) {
            nowMillis += stepGapMillis;
            if (node.running) {
                node.duties.forEach(duty -> duty.step(nowMillis));
            }
        }
        nowMillis = Math.max(nowMillis, end);
    }

    void runRounds(int count) {
        for (int i = 0; i < count; i++) {
            runRound();
        }
    }

    private Result<ExchangeReply> exchange(Node from, String address, ExchangeRequest request) {
        for (Node to : nodes) {
            boolean reachable = to.running && to.self.address().equals(address);
            if (reachable && !isPartitioned(from, to)) {
                ExchangeReply reply = to.membership.handleRequest(nowMillis, request);
                long bytes = size(request, reply);
                peerBytes += bytes;
                boolean fromRemote = remoteDataCentres.contains(from.dataCentre());
                crossRegionBytes +=
                        fromRemote == remoteDataCentres.contains(to.dataCentre()) ? 0 : bytes;
                return Result.ok(reply);
            }
        }
        return Result.failed(PeerFailure.UNREACHABLE);
    }

    private boolean isPartitioned(Node from, Node to) {
        return !from.dataCentre().equals(to.dataCentre())
                && (partitionedDataCentres.contains(from.dataCentre())
                        || partitionedDataCentres.contains(to.dataCentre()));
    }

    private static long size(ExchangeRequest request, ExchangeReply reply) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(1024);
            TCompactProtocol protocol = new TCompactProtocol(buffer);
            new org.peridotcourse.wire.Peer.Client(protocol).send_exchange(request);
            long headerBytes = buffer.length();
            reply.write(protocol);
            // The header of the reply has the same method name as that of the request.
            return buffer.length() + 2 * FRAME_HEADER_BYTES + Math.min(headerBytes, 12);
        } catch (TException impossible) {
            throw new IllegalArgumentException(impossible);
        }
    }

    /** One daemon and its duties. */
    final class Node implements TableStore {
        final Peer self;
        final SnapshotHolder config = new SnapshotHolder();
        final Membership membership;
        final ConfigDuty configDuty;
        final LeaseKeeper lease;
        final List<Duty> duties = new ArrayList<>();
        boolean running = true;

        private Node(Peer self) {
            this.self = self;
            this.membership = new Membership(self, config, log);
            this.configDuty =
                    new ConfigDuty(
                            this,
                            (address, request) -> exchange(this, address, request),
                            membership,
                            config,
                            "127.0.0.1:80",
                            () -> nowMillis,
                            log);
            this.lease =
                    new LeaseKeeper(
                            this,
                            AcceptorDuty.LEASE_KEY,
                            self,
                            LeaseKeeper.Durations.of(9000),
                            () -> nowMillis,
                            log);
            duties.add(configDuty);
        }

        Node withAcceptor() {
            duties.add(lease);
            duties.add(new AcceptorDuty(this, lease, self, () -> nowMillis, log));
            return this;
        }

        long version() {
            return config.snapshot().version();
        }

        String dataCentre() {
            return self.dataCentre().value();
        }

        @Override
        public Result<Optional<Row>> row(String tableName, String key) {
            return partitionedDataCentres.contains(dataCentre())
                    ? Result.failed(StoreFailure.UNAVAILABLE)
                    : table.row(tableName, key);
        }

        @Override
        public Result<RowPage> rows(String name, String prefix, long since, int limit) {
            if (partitionedDataCentres.contains(dataCentre())) {
                return Result.failed(StoreFailure.UNAVAILABLE);
            }
            Result<RowPage> page = table.rows(name, prefix, since, limit);
            if (name.equals(RowCodec.ACCEPTED_TABLE)) {
                long bytes = HttpSize.bytesOfRead(name, since, limit, page);
                storeBytes += bytes;
                crossRegionBytes += remoteDataCentres.contains(dataCentre()) ? bytes : 0;
            }
            return page;
        }

        @Override
        public WriteOutcome write(Transaction transaction) {
            return partitionedDataCentres.contains(dataCentre())
                    ? new WriteOutcome.Unknown()
                    : table.write(transaction);
        }
    }
}
