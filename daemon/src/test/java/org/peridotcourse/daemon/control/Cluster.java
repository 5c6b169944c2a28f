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

/** Daemons of several data centres on a virtual clock, with one table and counted bytes. */
final class Cluster {
    private static final int FRAME_HEAD = 4;

    final FakeTable table = new FakeTable();
    final List<Node> nodes = new ArrayList<>();
    final Set<String> cut = new HashSet<>();
    final EventLog log = new EventLog(System.getLogger("cluster"), new DecisionRing(1));
    long now = 1_000_000;
    long storeBytes;
    long peerBytes;
    long crossBytes;
    Set<String> farDataCentres = Set.of();

    static Peer peer(String name, String dataCentre, long incarnation) {
        return new Peer(DaemonId.of(name), DataCentreId.of(dataCentre), name + ":1", incarnation);
    }

    Node add(String name, String dataCentre, long incarnation) {
        Node node = new Node(peer(name, dataCentre, incarnation));
        nodes.add(node);
        return node;
    }

    /** Lets a round of one second pass, in which every live daemon makes a step. */
    void round() {
        long end = now + ConfigDuty.PERIOD_MILLIS;
        long gap = Math.max(1, ConfigDuty.PERIOD_MILLIS / Math.max(1, nodes.size()));
        for (Node node : List.copyOf(nodes)) {
            now += gap;
            if (node.alive) {
                node.duties.forEach(duty -> duty.step(now));
            }
        }
        now = Math.max(now, end);
    }

    void rounds(int count) {
        for (int i = 0; i < count; i++) {
            round();
        }
    }

    private Result<ExchangeReply> exchange(Node from, String address, ExchangeRequest request) {
        for (Node to : nodes) {
            boolean reachable = to.alive && to.self.address().equals(address);
            if (reachable && !isCut(from, to)) {
                ExchangeReply reply = to.membership.answer(now, request);
                long bytes = size(request, reply);
                peerBytes += bytes;
                boolean far = farDataCentres.contains(from.place());
                crossBytes += far == farDataCentres.contains(to.place()) ? 0 : bytes;
                return Result.ok(reply);
            }
        }
        return Result.failed(PeerFailure.UNREACHABLE);
    }

    private boolean isCut(Node from, Node to) {
        return !from.place().equals(to.place())
                && (cut.contains(from.place()) || cut.contains(to.place()));
    }

    private static long size(ExchangeRequest request, ExchangeReply reply) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(1024);
            TCompactProtocol protocol = new TCompactProtocol(buffer);
            new org.peridotcourse.wire.Peer.Client(protocol).send_exchange(request);
            long head = buffer.length();
            reply.write(protocol);
            // The head of the reply message has the same method name as that of the request.
            return buffer.length() + 2 * FRAME_HEAD + Math.min(head, 12);
        } catch (TException impossible) {
            throw new IllegalArgumentException(impossible);
        }
    }

    /** One daemon with the duties that a test gives it. */
    final class Node implements TableStore {
        final Peer self;
        final SnapshotHolder config = new SnapshotHolder();
        final Membership membership;
        final ConfigDuty configDuty;
        final LeaseKeeper lease;
        final List<Duty> duties = new ArrayList<>();
        boolean alive = true;

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
                            () -> now,
                            log);
            this.lease =
                    new LeaseKeeper(
                            this,
                            AcceptorDuty.LEASE_KEY,
                            self,
                            LeaseKeeper.Terms.of(9000),
                            () -> now,
                            log);
            duties.add(configDuty);
        }

        Node withAcceptor() {
            duties.add(lease);
            duties.add(new AcceptorDuty(this, lease, self, () -> now, log));
            return this;
        }

        long version() {
            return config.snapshot().version();
        }

        String place() {
            return self.dataCentre().value();
        }

        @Override
        public Result<Optional<Row>> row(String tableName, String key) {
            return cut.contains(place())
                    ? Result.failed(StoreFailure.UNAVAILABLE)
                    : table.row(tableName, key);
        }

        @Override
        public Result<RowPage> rows(String name, String prefix, long since, int limit) {
            if (cut.contains(place())) {
                return Result.failed(StoreFailure.UNAVAILABLE);
            }
            Result<RowPage> page = table.rows(name, prefix, since, limit);
            if (name.equals(RowCodec.ACCEPTED)) {
                long bytes = HttpSize.read(name, since, limit, page);
                storeBytes += bytes;
                crossBytes += farDataCentres.contains(place()) ? bytes : 0;
            }
            return page;
        }

        @Override
        public WriteOutcome write(Transaction transaction) {
            return cut.contains(place()) ? new WriteOutcome.Unknown() : table.write(transaction);
        }
    }
}
