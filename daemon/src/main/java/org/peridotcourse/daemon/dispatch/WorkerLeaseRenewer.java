package org.peridotcourse.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.DispatchOwner;
import org.peridotcourse.dispatch.LeaseCall;
import org.peridotcourse.dispatch.OrderReply;
import org.peridotcourse.dispatch.WorkerInfo;

/**
 * Renews the lease of each worker, with one outstanding lease call per worker. Confined to the
 * event loop.
 */
final class WorkerLeaseRenewer {
    /** How long a worker waits for the end of a run before it reports. */
    private static final long REPORT_WAIT_MILLIS = 1_000;

    /**
     * Wait for workers that run both serving and filling tasks, which report more often to detect
     * interference early.
     */
    private static final long MIXED_REPORT_WAIT_MILLIS = 500;

    /** Time for an answer in addition to the wait. */
    private static final long TIMEOUT_MILLIS = 700;

    /** Pause before the call to a worker that did not answer is retried. */
    private static final long RETRY_MILLIS = 250;

    /**
     * Pause between calls to a worker whose reported ends are not stored yet, since its reports
     * only repeat them.
     */
    private static final long UNSTORED_ENDS_PAUSE_MILLIS = 400;

    private final EventLoop loop;
    private final HostComponents components;
    private final DispatchOwner owner;
    private final OwnerElection election;
    private final Map<String, LeaseCallState> callStates = new HashMap<>();
    private boolean workersRead;
    private boolean fleetRead;
    private boolean stopped;

    /** The state of the calls to one worker. */
    private static final class LeaseCallState {
        boolean outstanding;
        long nextCallAt;
        WorkerInfo info;
    }

    WorkerLeaseRenewer(HostComponents components, DispatchOwner owner, OwnerElection election) {
        this.components = components;
        this.loop = components.loop();
        this.owner = owner;
        this.election = election;
    }

    void stop() {
        stopped = true;
    }

    boolean isTracked(String worker) {
        return callStates.containsKey(worker);
    }

    void onWorkerListed(WorkerInfo info, long now) {
        callStates.computeIfAbsent(info.id(), key -> new LeaseCallState()).info = info;
        owner.onWorkerListed(info, now);
    }

    /** Adds a worker that an earlier owner recorded and that may have left. */
    void onRecordedWorker(WorkerInfo info, long now) {
        callStates.computeIfAbsent(info.id(), key -> new LeaseCallState()).info = info;
        owner.onRecordedWorker(info, now);
    }

    void onWorkerUnlisted(String id, long now) {
        LeaseCallState state = callStates.get(id);
        if (state != null) {
            owner.onWorkerUnlisted(id, now);
        }
    }

    void onWorkersRead() {
        workersRead = true;
    }

    void onFleetRead() {
        fleetRead = true;
    }

    /** Called when ends are stored, so that calls which acknowledge them are sent at once. */
    void onProgressStored() {
        callStates.values().forEach(state -> state.nextCallAt = 0);
    }

    /** Sends the calls that are due. */
    void step(long now) {
        if (!workersRead || !fleetRead) {
            return;
        }
        callStates.keySet().removeIf(id -> !owner.hasWorker(id));
        for (Map.Entry<String, LeaseCallState> entry : callStates.entrySet()) {
            LeaseCallState state = entry.getValue();
            if (!state.outstanding && state.nextCallAt <= now) {
                call(entry.getKey(), state, now);
            }
        }
    }

    private void call(String id, LeaseCallState state, long now) {
        long wait =
                owner.hasFillingBesideServing(id) ? MIXED_REPORT_WAIT_MILLIS : REPORT_WAIT_MILLIS;
        Optional<LeaseCall> call = owner.leaseCall(id, wait, now);
        if (call.isEmpty()) {
            return;
        }
        state.outstanding = true;
        components
                .workers()
                .lease(
                        call.get(),
                        TIMEOUT_MILLIS,
                        reply -> {
                            state.outstanding = false;
                            if (!stopped && election.maySendOrders(loop.nowMillis())) {
                                onLeaseReply(id, state, reply, now);
                            }
                        });
    }

    private void onLeaseReply(
            String id, LeaseCallState state, WorkerPort.LeaseReply reply, long sentAt) {
        long now = loop.nowMillis();
        components.metrics().recordLeaseReply(reply.reply(), now - sentAt);
        if (reply.report().isPresent()) {
            owner.onReport(id, reply.report().get(), sentAt, now);
            state.nextCallAt = owner.hasUnstoredEnds(id) ? now + UNSTORED_ENDS_PAUSE_MILLIS : 0;
        } else {
            owner.onLeaseCallFailed(id, reply.reply(), now);
            state.nextCallAt = now + RETRY_MILLIS;
            if (reply.reply() == OrderReply.OTHER_LIFE || reply.reply() == OrderReply.NOT_SENT) {
                components.workers().closeConnections(state.info);
            }
        }
    }
}
