package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The calls between the owner and the workers of a {@link DispatchSimulation}: their delays, their
 * time-outs and the processor time that they take in the owner's process.
 */
final class SimulatedWorkerCalls {
    /** One-way delay of calls and replies. */
    private static final long NETWORK_DELAY_MILLIS = 5;

    private static final long ORDER_TIMEOUT_MILLIS = 600;

    /** Time for the answer to a lease call beyond the wait of the worker. */
    private static final long LEASE_CALL_TIMEOUT_MILLIS = 700;

    /** Pause before a lease call that had no answer is repeated. */
    private static final long LEASE_CALL_RETRY_MILLIS = 200;

    private final DispatchSimulation simulation;

    /** By worker id, when the next lease call is due. */
    private final Map<String, Long> nextCallAt = new HashMap<>();

    SimulatedWorkerCalls(DispatchSimulation simulation) {
        this.simulation = simulation;
    }

    /** Forgets the calls of the earlier owner. */
    void onTakeover() {
        nextCallAt.clear();
    }

    /** Sends the lease calls that are due. */
    void sendDueLeaseCalls(DispatchOwner sender) {
        for (String id : sender.workerIds()) {
            long due = nextCallAt.getOrDefault(id, 0L);
            if (due <= simulation.now) {
                nextCallAt.put(id, Long.MAX_VALUE);
                call(sender, id);
            }
        }
    }

    private void call(DispatchOwner sender, String id) {
        long sentAt = simulation.now;
        Optional<LeaseCall> call = sender.leaseCall(id, simulation.waitMillis, sentAt);
        FakeWorker worker = simulation.workers.get(id);
        if (call.isEmpty()) {
            return;
        }
        if (!worker.up && simulation.successorOf(worker).isPresent()) {
            simulation.schedule(
                    NETWORK_DELAY_MILLIS, () -> fail(sender, worker, OrderReply.OTHER_LIFE));
            return;
        }
        if (!isReachable(worker)) {
            failUnreachable(sender, worker);
            return;
        }
        long leavesAt = simulation.process.sendCall(sentAt);
        simulation.schedule(
                leavesAt - sentAt + NETWORK_DELAY_MILLIS,
                () -> {
                    if (simulation.isAlive(sender, leavesAt)) {
                        answer(sender, worker, call.get(), sentAt, simulation.now);
                    }
                });
    }

    private boolean isReachable(FakeWorker worker) {
        return worker.up && !simulation.unreachableWorkers.contains(worker.id);
    }

    private void failUnreachable(DispatchOwner sender, FakeWorker worker) {
        // The connections of a crashed worker are reset.
        long millis = worker.up ? 1_200 : NETWORK_DELAY_MILLIS;
        simulation.schedule(millis, () -> fail(sender, worker, OrderReply.UNANSWERED));
    }

    private void fail(DispatchOwner sender, FakeWorker worker, OrderReply reply) {
        sender.onLeaseCallFailed(worker.id, reply, simulation.now);
        nextCallAt.put(worker.id, simulation.now + LEASE_CALL_RETRY_MILLIS);
    }

    /** Answers a lease call once a run has ended or the wait of the call is over. */
    private void answer(
            DispatchOwner sender, FakeWorker worker, LeaseCall call, long sentAt, long since) {
        boolean waits = simulation.now - since < call.waitMillis() && !worker.hasEnds();
        if (waits && isReachable(worker)) {
            worker.acceptLeaseCall(call, simulation.now);
            simulation.schedule(
                    DispatchSimulation.TICK_MILLIS,
                    () -> answer(sender, worker, call, sentAt, since));
            return;
        }
        if (!isReachable(worker)) {
            failUnreachable(sender, worker);
            return;
        }
        Optional<WorkerReport> report = worker.onLeaseCall(call, simulation.now);
        long deadline = sentAt + call.waitMillis() + LEASE_CALL_TIMEOUT_MILLIS;
        scheduleReply(
                sender,
                () -> {
                    if (report.isEmpty()) {
                        sender.onLeaseCallFailed(worker.id, OrderReply.STALE_EPOCH, simulation.now);
                    } else if (simulation.now > deadline) {
                        fail(sender, worker, OrderReply.UNANSWERED);
                    } else {
                        boolean unstored = sender.hasUnstoredEnds(worker.id);
                        nextCallAt.put(worker.id, simulation.now + (unstored ? 30 : 0));
                        simulation.applyReport(sender, worker, report.get(), sentAt);
                    }
                });
    }

    private boolean isReceiving(DispatchOwner receiver) {
        return receiver == simulation.owner && simulation.isAlive(receiver, simulation.now);
    }

    /** Delivers a reply to the owner's process, which handles it once it has the time. */
    private void scheduleReply(DispatchOwner receiver, Runnable handler) {
        simulation.schedule(
                NETWORK_DELAY_MILLIS,
                () -> {
                    if (isReceiving(receiver)) {
                        long handledAt = simulation.process.handleReply(simulation.now);
                        simulation.schedule(handledAt - simulation.now, handler);
                    }
                });
    }

    /** Sends an order. */
    void send(DispatchOwner sender, Order order) {
        FakeWorker worker = simulation.workers.get(order.worker().id());
        if (!worker.up && simulation.successorOf(worker).isPresent()) {
            reply(sender, order, OrderReply.OTHER_LIFE, NETWORK_DELAY_MILLIS);
            return;
        }
        if (!isReachable(worker) || simulation.isLost.test(order)) {
            reply(sender, order, OrderReply.UNANSWERED, ORDER_TIMEOUT_MILLIS);
            return;
        }
        if (simulation.random.nextDouble() < simulation.lateOrderShare) {
            reply(sender, order, OrderReply.UNANSWERED, ORDER_TIMEOUT_MILLIS);
            long delay = 2_000 + simulation.random.nextInt(10_000);
            simulation.schedule(delay, () -> carryOut(worker, order, true));
            return;
        }
        if (simulation.unansweredOrderShare > 0
                && simulation.random.nextDouble() < simulation.unansweredOrderShare) {
            simulation.schedule(NETWORK_DELAY_MILLIS, () -> carryOut(worker, order, false));
            reply(sender, order, OrderReply.UNANSWERED, ORDER_TIMEOUT_MILLIS);
            return;
        }
        long deadline = simulation.now + ORDER_TIMEOUT_MILLIS;
        long sendAt = simulation.process.sendCall(simulation.now);
        if (sendAt > deadline) {
            reply(sender, order, OrderReply.EXPIRED, sendAt - simulation.now);
            return;
        }
        simulation.schedule(
                sendAt - simulation.now + NETWORK_DELAY_MILLIS,
                () -> {
                    if (!simulation.isAlive(sender, sendAt)) {
                        return;
                    }
                    OrderReply reply = carryOut(worker, order, false);
                    scheduleReply(
                            sender,
                            () -> {
                                boolean inTime = simulation.now <= deadline;
                                OrderReply seen = inTime ? reply : OrderReply.UNANSWERED;
                                sender.onOrderReply(order, seen, simulation.now);
                            });
                });
    }

    private void reply(DispatchOwner receiver, Order order, OrderReply reply, long delay) {
        simulation.schedule(delay, () -> receiver.onOrderReply(order, reply, simulation.now));
    }

    private OrderReply carryOut(FakeWorker worker, Order order, boolean late) {
        if (!worker.up) {
            return OrderReply.UNANSWERED;
        }
        if (order instanceof Order.Start start) {
            StepSpec spec = simulation.spec(order.task());
            simulation.assertEarlierStepsDone(order.task());
            long runMillis = simulation.runMillis.applyAsLong(spec);
            OrderReply reply = worker.start(start, spec, runMillis, simulation.now);
            if (reply == OrderReply.ACCEPTED) {
                simulation.assertValidStart(worker, order.task());
                assertTrue(
                        !simulation.isStoredAsDone(order.task()),
                        () -> "started although it is done: " + order);
                simulation.onStarted(worker, start, late);
            }
            return reply;
        }
        return order instanceof Order.Stop stop
                ? worker.stop(stop)
                : worker.pace((Order.Pace) order);
    }
}
