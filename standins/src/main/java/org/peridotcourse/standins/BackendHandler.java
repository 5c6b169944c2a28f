package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.function.LongSupplier;

/**
 * Implements the HTTP interface of a backend server: lookups and plans occupy a slot, watches only
 * a connection.
 *
 * <p>If all slots are busy, a request waits in a short queue; if the queue is full, it is refused
 * with {@code Peridot-Not-Run}. {@code GET /v1/record} lists the plans that ran. This class is
 * thread-safe.
 */
final class BackendHandler implements Handler {
    private static final long MAX_PADDING_BYTES = 1 << 20;

    private final BackendLimits limits;
    private final ServiceTimes serviceTimes;
    private final BackendFaults faults = new BackendFaults();
    private final LongSupplier clock;
    private final ArrayNode plans = Json.MAPPER.createArrayNode();
    private final Deque<PendingRequest> waitingRequests = new ArrayDeque<>();
    private StandInServer server;
    private GeneratedResponse previousResponse;
    private int busySlots;
    private int inFlight;
    private long served;
    private long refused;
    private boolean leaving;
    private boolean closed;

    BackendHandler(BackendLimits limits, ServiceTimes serviceTimes, LongSupplier clock) {
        this.limits = limits;
        this.serviceTimes = serviceTimes;
        this.clock = clock;
    }

    /**
     * Sets the server, which provides the timer and the number of connections.
     *
     * @param started the server that uses this handler
     */
    synchronized void setServer(StandInServer started) {
        server = started;
    }

    @Override
    public synchronized void handle(IncomingRequest request, Responder responder) {
        if (request.path().equals("/fault")) {
            ObjectNode changes =
                    request.method().equals("GET")
                            ? Json.object()
                            : (ObjectNode) request.jsonBody();
            responder.send(Reply.json(200, faults.apply(changes, server.lastConnectionNumber())));
        } else if (request.path().equals("/v1/record")) {
            responder.send(Reply.json(200, record()));
        } else if (!faults.isSilent(request.connectionNumber())) {
            admit(new PendingRequest(request, responder, clock.getAsLong()));
        }
    }

    /** Marks all later responses with {@code Peridot-Leaving}; new watches end immediately. */
    synchronized void leave() {
        leaving = true;
    }

    /** Refuses all new requests. */
    synchronized void close() {
        closed = true;
    }

    synchronized boolean isClosed() {
        return closed;
    }

    synchronized boolean isIdle() {
        return inFlight == 0;
    }

    private void admit(PendingRequest request) {
        if (closed || server.openConnectionCount() > limits.maxConnections()) {
            refuse(request);
        } else if (request.isWatch()) {
            inFlight++;
            // A leaving server ends the segments of new watches immediately and without events.
            double millis =
                    leaving ? 0 : Math.min(request.segmentMillis(), limits.watchEventMillis());
            server.schedule(millis, () -> finish(request));
        } else if (busySlots < limits.slots()) {
            inFlight++;
            execute(request);
        } else if (waitingRequests.size() < limits.queueCapacity()) {
            inFlight++;
            waitingRequests.add(request);
        } else {
            refuse(request);
        }
    }

    private void execute(PendingRequest request) {
        busySlots++;
        if (request.isPlan()) {
            ObjectNode plan = plans.addObject();
            plan.put("key", request.received.header("Peridot-Key").orElse(""));
            plan.put("request", request.requestId()).put("path", request.received.path());
            plan.put("at", System.currentTimeMillis());
        }
        server.schedule(serviceTimes.nextMillis() * faults.slowFactor(), () -> finish(request));
    }

    private synchronized void finish(PendingRequest request) {
        if (!request.isWatch()) {
            busySlots--;
            startWaitingRequests();
        }
        served++;
        GeneratedResponse generated = new GeneratedResponse(request.requestId(), body(request));
        GeneratedResponse sent = generated;
        if (faults.takeCrossing()) {
            sent = previousResponse == null ? generated.withRequestId("crossed") : previousResponse;
        }
        previousResponse = generated;
        Reply reply = withStatusHeaders(Reply.json(200, sent.body), sent.requestId);
        server.schedule(faults.takeDelayMillis(), () -> respond(request, reply));
    }

    private void startWaitingRequests() {
        while (busySlots < limits.slots() && !waitingRequests.isEmpty()) {
            PendingRequest next = waitingRequests.remove();
            if (clock.getAsLong() - next.arrivalMillis >= next.deadlineMillis()) {
                inFlight--;
                refuse(next);
            } else {
                execute(next);
            }
        }
    }

    private void respond(PendingRequest request, Reply reply) {
        if (faults.haltsInResponse()) {
            request.responder.sendTruncated(reply);
            Runtime.getRuntime().halt(137);
        } else if (faults.takeTruncation()) {
            request.responder.sendTruncated(reply);
        } else if (!faults.isSilent(request.received.connectionNumber())) {
            request.responder.send(reply);
        }
        synchronized (this) {
            inFlight--;
        }
    }

    private void refuse(PendingRequest request) {
        refused++;
        Reply reply = Reply.error(503, closed ? "leaving" : "busy");
        request.responder.send(
                withStatusHeaders(reply, request.requestId())
                        .withHeader("Peridot-Not-Run", "true"));
    }

    private Reply withStatusHeaders(Reply reply, String requestId) {
        Reply marked = reply.withHeader("Peridot-Request", requestId);
        return leaving ? marked.withHeader("Peridot-Leaving", "true") : marked;
    }

    private ObjectNode body(PendingRequest request) {
        ObjectNode body = Json.object().put("server", limits.name());
        body.put("request", request.requestId()).put("path", request.received.path());
        ObjectNode query = body.putObject("query");
        request.received.query().forEach(query::put);
        if (request.isWatch()) {
            long cursor = request.received.longParameter("cursor", 0);
            boolean event = !leaving && request.segmentMillis() >= limits.watchEventMillis();
            body.putArray("events").addAll(event ? events(cursor) : Json.MAPPER.createArrayNode());
            body.put("cursor", event ? cursor + 1 : cursor);
        }
        long padding = Math.min(request.received.longParameter("bytes", 0), MAX_PADDING_BYTES);
        return padding > 0 ? body.put("padding", "x".repeat((int) padding)) : body;
    }

    private static ArrayNode events(long cursor) {
        return Json.MAPPER.createArrayNode().add("event-" + (cursor + 1));
    }

    private ObjectNode record() {
        ObjectNode body = Json.object().put("server", limits.name());
        body.put("served", served).put("refused", refused).put("inFlight", inFlight);
        body.put("busy", busySlots).put("connections", server.openConnectionCount());
        body.set("plans", plans.deepCopy());
        return body;
    }

    /**
     * A response before faults are applied.
     *
     * @param requestId the id of the request
     * @param body the JSON body
     */
    private record GeneratedResponse(String requestId, ObjectNode body) {
        GeneratedResponse withRequestId(String otherId) {
            return new GeneratedResponse(otherId, body);
        }
    }

    /**
     * A request that has not been answered yet.
     *
     * @param received the request as received
     * @param responder sends the response
     * @param arrivalMillis the time of arrival, by the clock of the handler
     */
    private record PendingRequest(
            IncomingRequest received, Responder responder, long arrivalMillis) {
        String requestId() {
            return received.header("Peridot-Request").orElse("");
        }

        String kind() {
            return received.header("Peridot-Kind").orElse("").toLowerCase(Locale.ROOT);
        }

        boolean isWatch() {
            return kind().equals("watch");
        }

        boolean isPlan() {
            return kind().equals("non-idempotent");
        }

        long segmentMillis() {
            return received.longHeader("Peridot-Segment-Ms", 10_000);
        }

        long deadlineMillis() {
            return received.longHeader("Peridot-Deadline-Ms", 60_000);
        }
    }
}
