package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.peridotcourse.dispatch.LeaseCall;
import org.peridotcourse.dispatch.Order;
import org.peridotcourse.dispatch.OrderReply;
import org.peridotcourse.dispatch.WorkerInfo;
import org.peridotcourse.dispatch.WorkerReport;

/**
 * Sends calls to the workers.
 *
 * <p>Calls return at once; handlers run on the event loop. Confined to the event loop.
 */
public interface WorkerPort {
    /**
     * The answer to a lease call.
     *
     * @param reply how the worker answered
     * @param report its report, empty unless it accepted the call
     */
    record LeaseReply(OrderReply reply, Optional<WorkerReport> report) {}

    /**
     * Renews a lease and requests a report.
     *
     * @param call the call
     * @param timeoutMillis time for the answer beyond what the worker may wait
     * @param handler receives the answer
     */
    void lease(LeaseCall call, long timeoutMillis, Consumer<LeaseReply> handler);

    /**
     * Sends an order.
     *
     * @param order the order
     * @param timeoutMillis time for the answer
     * @param handler receives the answer
     */
    void send(Order order, long timeoutMillis, Consumer<OrderReply> handler);

    /**
     * Closes the connections to a worker that is no longer used.
     *
     * @param worker the worker
     */
    void closeConnections(WorkerInfo worker);
}
