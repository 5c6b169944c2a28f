package org.peridotcourse.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.DispatchOwner;
import org.peridotcourse.dispatch.LeaseCall;
import org.peridotcourse.dispatch.OrderReply;
import org.peridotcourse.dispatch.WorkerInfo;

/** Keeps one lease call to each worker outstanding. Confined to the loop. */
final class WorkerLeaseRenewer {
    /** How long a worker waits for an end before it reports. */
    private static final long REPORT_WAIT_MILLIS = 1_000;

    /** Reports come more often where filling tasks may disturb serving ones. */
    private static final long MIXED_REPORT_WAIT_MILLIS = 500;

    /** Time for an answer beyond the wait. */
    private static final long TIMEOUT_MILLIS = 700;

    /** Pause before a worker without an answer is asked again. */
    private static final long RETRY_MILLIS = 250;

    /** A report that repeats ends is asked for this seldom while the store does not take them. */
    private static final long UNSTORED_ENDS_PAUSE_MILLIS = 400;

    private final EventLoop loop;
    private final HostComponents components;
    private final DispatchOwner owner;
    private final OwnerElection election;
    private final Map<String, LeaseCallState> callStates = new HashMap<>();
    private boolean workersRead;
    private boolean fleetRead;
    private boolean stopped;

    /** The sequence of calls to one worker. */
    private static final class LeaseCallState {
        boolean outstanding;
        long nextCallAt;
        WorkerInfo info;
    }

    WorkerLeaseRenewer(HostComponents parts, DispatchOwner owner, OwnerElection election) {
        this.components = parts;
        this.loop = parts.loop();
        this.owner = owner;
        this.election = election;
    }

    void stop() {
        stopped = true;
    }

    boolean isTracked(String worker) {
        return callStates.containsKey(worker);
    }

    void onWorker(WorkerInfo info, long now) {
        callStates.computeIfAbsent(info.id(), key -> new LeaseCallState()).info = info;
        owner.onWorker(info, now);
    }

    /** Takes a worker that an earlier owner recorded and that may have left. */
    void onRecordedWorker(WorkerInfo info, long now) {
        callStates.computeIfAbsent(info.id(), key -> new LeaseCallState()).info = info;
        owner.onRecordedWorker(info, now);
    }

    void onWorkerUnlisted(String id, long now) {
        LeaseCallState line = callStates.get(id);
        if (line != null) {
            owner.onWorkerGone(id, now);
        }
    }

    void onWorkersRead() {
        workersRead = true;
    }

    void onFleetRead() {
        fleetRead = true;
    }

    /** Ends are stored, so the calls that acknowledge them may go at once. */
    void onProgressStored() {
        callStates.values().forEach(line -> line.nextCallAt = 0);
    }

    /** Sends the calls that are due. */
    void step(long now) {
        if (!workersRead || !fleetRead) {
            return;
        }
        callStates.keySet().removeIf(id -> !owner.knows(id));
        for (Map.Entry<String, LeaseCallState> entry : callStates.entrySet()) {
            LeaseCallState line = entry.getValue();
            if (!line.outstanding && line.nextCallAt <= now) {
                call(entry.getKey(), line, now);
            }
        }
    }

    private void call(String id, LeaseCallState line, long now) {
        long wait = owner.isMixed(id) ? MIXED_REPORT_WAIT_MILLIS : REPORT_WAIT_MILLIS;
        Optional<LeaseCall> call = owner.leaseCall(id, wait, now);
        if (call.isEmpty()) {
            return;
        }
        line.outstanding = true;
        components
                .workers()
                .lease(
                        call.get(),
                        TIMEOUT_MILLIS,
                        reply -> {
                            line.outstanding = false;
                            if (!stopped && election.maySendOrders(loop.now())) {
                                onReply(id, line, reply, now);
                            }
                        });
    }

    private void onReply(String id, LeaseCallState line, WorkerPort.LeaseReply reply, long sentAt) {
        long now = loop.now();
        components.metrics().recordLeaseReply(reply.reply(), now - sentAt);
        if (reply.report().isPresent()) {
            owner.onReport(id, reply.report().get(), sentAt, now);
            line.nextCallAt = owner.hasUnstoredEnds(id) ? now + UNSTORED_ENDS_PAUSE_MILLIS : 0;
        } else {
            owner.onNoReport(id, reply.reply(), now);
            line.nextCallAt = now + RETRY_MILLIS;
            if (reply.reply() == OrderReply.OTHER_LIFE || reply.reply() == OrderReply.NOT_SENT) {
                components.workers().closeConnections(line.info);
            }
        }
    }
}
