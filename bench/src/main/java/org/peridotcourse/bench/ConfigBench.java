package org.peridotcourse.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.control.AcceptorDuty;
import org.peridotcourse.daemon.control.ConfigDuty;
import org.peridotcourse.daemon.control.LeaseKeeper;
import org.peridotcourse.daemon.control.Membership;
import org.peridotcourse.daemon.control.SnapshotHolder;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.peer.PeerTransport;
import org.peridotcourse.membership.Peer;
import org.peridotcourse.wire.ExchangeReply;
import org.peridotcourse.wire.ExchangeRequest;

/** Runs the acceptor, two readers and a follower of one data centre on a virtual clock. */
final class ConfigBench {
    private static final String CUSTOMER =
            "{\"weight\":200,\"max-in-flight\":500,\"quota-milli-cores\":64000}";
    private static final String WORKLOAD =
            "{\"class\":\"latency-critical\",\"service\":\"despacho\",\"deadline-ms\":1500}";

    /** Average cost of one step of a duty. */
    record Cost(double micros, double bytes, double calls) {}

    final InMemoryTableStore table = new InMemoryTableStore();
    long exchangeBytes;

    /** CPU time of the first step of the acceptor, which validates all rows. */
    double firstStepMicros;

    private final List<String> customers = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final EventLog log = disabledLog();
    private LeaseKeeper lease;
    private AcceptorDuty acceptor;
    private long now = 100_000;
    private int edits;

    /** Configuration state and duty of one daemon. */
    private static final class Member {
        SnapshotHolder config = new SnapshotHolder();
        Membership membership;
        ConfigDuty duty;
    }

    /** Creates the daemons and distributes a number of rows to all of them. */
    ConfigBench(int rows) {
        for (int i = 0; i < rows / 4; i++) {
            customers.add("customer-" + i);
        }
        table.put("datacentres", List.of("dc-1", "dc-2"), "{\"region\":\"r-1\"}");
        table.put("customers", customers, CUSTOMER);
        for (int i = 0; i < 3; i++) {
            String name = "/service-" + i;
            String value = WORKLOAD.replace("despacho", "despacho-" + i);
            table.put("workloads", customers.stream().map(c -> c + name).toList(), value);
        }
        for (int i = 1; i <= 3; i++) {
            members.add(member("daemon-" + i));
        }
        Peer self = members.get(0).membership.self();
        lease =
                new LeaseKeeper(
                        table,
                        AcceptorDuty.LEASE_KEY,
                        self,
                        LeaseKeeper.Durations.of(9_000),
                        () -> now,
                        log);
        acceptor = new AcceptorDuty(table, lease, self, () -> now, log);
        lease.step(now);
        ResourceMeter meter = new ResourceMeter();
        meter.measure(() -> step(0));
        firstStepMicros = meter.cpuMicros();
        for (int i = 0; i < 30; i++) {
            advanceSecond();
        }
    }

    static EventLog disabledLog() {
        Logger.getLogger("org.peridotcourse").setLevel(Level.OFF);
        return new EventLog(System.getLogger("org.peridotcourse"), new DecisionRing(16));
    }

    private Member member(String name) {
        Member member = new Member();
        String address = "10.20.30.4" + name.substring(name.length() - 1) + ":9000";
        Peer self =
                new Peer(DaemonId.of(name), DataCentreId.of("dc-1"), address, 1_700_000_000_000L);
        member.membership = new Membership(self, member.config, log);
        member.duty =
                new ConfigDuty(
                        table,
                        transport(),
                        member.membership,
                        member.config,
                        address,
                        () -> now,
                        log);
        return member;
    }

    private PeerTransport transport() {
        return (address, request) -> {
            exchangeBytes += framedSize(request);
            for (Member other : members) {
                if (other.membership.self().address().equals(address)) {
                    ExchangeReply reply = other.membership.handleRequest(now, request);
                    exchangeBytes += framedSize(reply);
                    return Result.ok(reply);
                }
            }
            throw new IllegalArgumentException(address);
        };
    }

    /** Returns the size in bytes of a message with its frame and call header. */
    static long framedSize(TBase<?, ?> message) {
        try {
            // Length field of the frame, and header of a call named "exchange" with its argument.
            return 4
                    + 14
                    + new TSerializer(new TCompactProtocol.Factory()).serialize(message).length;
        } catch (TException impossible) {
            throw new IllegalArgumentException(impossible);
        }
    }

    private void advanceSecond() {
        now += 1_000;
        lease.step(now);
        acceptor.step(now);
        members.forEach(member -> member.duty.step(now));
    }

    /** Returns true if all daemons have the same configuration, with a version above 0. */
    boolean allUpToDate() {
        long version = members.get(0).config.snapshot().version();
        return version > 0
                && members.stream().allMatch(m -> m.config.snapshot().version() == version);
    }

    /** Edits one row, as an operator does. */
    void edit() {
        String customer = customers.get(edits % customers.size());
        table.put("customers", List.of(customer), CUSTOMER.replace("200", "" + (1 + edits % 900)));
        edits++;
    }

    /**
     * Measures one duty over a number of seconds.
     *
     * @param role 0 for the acceptor, 1 for a reader, 3 for a follower
     * @param seconds the number of steps, one per second
     * @param editing true to edit a row each second
     * @return the cost per second
     */
    Cost measure(int role, int seconds, boolean editing) {
        ResourceMeter meter = new ResourceMeter();
        long bytes = 0;
        long calls = 0;
        for (int i = 0; i < seconds; i++) {
            if (editing) {
                edit();
            }
            now += 1_000;
            for (int current = 0; current <= 3; current++) {
                int duty = current;
                table.resetCounts();
                exchangeBytes = 0;
                if (current == role) {
                    meter.measure(() -> step(duty));
                    bytes += table.bytes + exchangeBytes;
                    calls += table.reads + table.writes + (exchangeBytes > 0 ? 1 : 0);
                } else {
                    step(current);
                }
            }
        }
        return new Cost(
                meter.cpuMicros() / seconds, (double) bytes / seconds, (double) calls / seconds);
    }

    private boolean step(int duty) {
        if (duty == 0) {
            lease.step(now);
            acceptor.step(now);
        } else {
            members.get(duty - 1).duty.step(now);
        }
        return true;
    }

    /** Returns the bytes of the acceptor's state. The acceptor cannot be used afterwards. */
    long acceptorBytes() {
        long before = ResourceMeter.liveBytes();
        acceptor = null;
        return before - ResourceMeter.liveBytes();
    }

    /** Returns the bytes of a follower's configuration. The bench cannot be used afterwards. */
    long followerBytes() {
        long before = ResourceMeter.liveBytes();
        members.remove(2);
        return before - ResourceMeter.liveBytes();
    }

    /** Returns the request of an exchange without configuration changes. */
    ExchangeRequest unchangedRequest() throws IOException {
        ExchangeRequest[] captured = new ExchangeRequest[1];
        PeerTransport capturing =
                (address, request) -> {
                    captured[0] = request;
                    return transport().exchange(address, request);
                };
        Member third = members.get(2);
        new ConfigDuty(
                        table,
                        capturing,
                        third.membership,
                        third.config,
                        "10.20.30.43:80",
                        () -> now,
                        log)
                .step(now);
        return captured[0];
    }

    /** Returns the reply of the first daemon to a request. */
    ExchangeReply reply(ExchangeRequest request) {
        return members.get(0).membership.handleRequest(now, request);
    }
}
