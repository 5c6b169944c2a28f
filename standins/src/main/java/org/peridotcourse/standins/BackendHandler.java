package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.function.LongSupplier;

/**
 * The backend server's interface: lookups and plans occupy a slot, watches only a connection.
 *
 * <p>A request that finds all slots busy waits in a short queue, and beyond that it is refused with
 * {@code Peridot-Not-Run}. {@code GET /v1/record} lists the plans that ran. It is thread-safe.
 */
final class BackendHandler implements Handler {
    private static final long LARGEST_PADDING = 1 << 20;

    private final BackendLimits limits;
    private final ServiceTimes times;
    private final BackendFaults faults = new BackendFaults();
    private final LongSupplier clock;
    private final ArrayNode plans = Json.MAPPER.createArrayNode();
    private final Deque<Job> waiting = new ArrayDeque<>();
    private StandInServer server;
    private Answer previous;
    private int busy;
    private int inFlight;
    private long served;
    private long refused;
    private boolean leaving;
    private boolean closing;

    BackendHandler(BackendLimits limits, ServiceTimes times, LongSupplier clock) {
        this.limits = limits;
        this.times = times;
        this.clock = clock;
    }

    /**
     * Sets the server, which provides the timer.
     *
     * @param started the server of this handler
     */
    synchronized void serveOn(StandInServer started) {
        server = started;
    }

    @Override
    public synchronized void handle(Call call, Responder responder) {
        if (call.path().equals("/fault")) {
            ObjectNode wanted =
                    call.method().equals("GET") ? Json.object() : (ObjectNode) call.json();
            responder.send(Reply.json(200, faults.apply(wanted, server.lastConnection())));
        } else if (call.path().equals("/v1/record")) {
            responder.send(Reply.json(200, record()));
        } else if (!faults.isSilent(call.connection())) {
            accept(new Job(call, responder, clock.getAsLong()));
        }
    }

    /** Marks all responses from now on as those of a leaving server; watches end at once. */
    synchronized void leave() {
        leaving = true;
    }

    /** Refuses all new requests. */
    synchronized void close() {
        closing = true;
    }

    synchronized boolean isClosed() {
        return closing;
    }

    synchronized boolean isIdle() {
        return inFlight == 0;
    }

    private void accept(Job job) {
        if (closing || server.openConnections() > limits.connections()) {
            refuse(job);
        } else if (job.isWatch()) {
            inFlight++;
            // A leaving server ends segments at once, without events.
            double millis = leaving ? 0 : Math.min(job.segmentMillis(), limits.watchEventMillis());
            server.later(millis, () -> finish(job));
        } else if (busy < limits.slots()) {
            inFlight++;
            run(job);
        } else if (waiting.size() < limits.queue()) {
            inFlight++;
            waiting.add(job);
        } else {
            refuse(job);
        }
    }

    private void run(Job job) {
        busy++;
        if (job.isPlan()) {
            ObjectNode plan = plans.addObject();
            plan.put("key", job.call.header("Peridot-Key").orElse(""));
            plan.put("request", job.request()).put("path", job.call.path());
            plan.put("at", System.currentTimeMillis());
        }
        server.later(times.nextMillis() * faults.slowFactor(), () -> finish(job));
    }

    private synchronized void finish(Job job) {
        if (!job.isWatch()) {
            busy--;
            startWaiting();
        }
        served++;
        Answer own = new Answer(job.request(), body(job));
        Answer sent = own;
        if (faults.takeCross()) {
            sent = previous == null ? own.as("crossed") : previous;
        }
        previous = own;
        Reply reply = mark(Reply.json(200, sent.body), sent.request);
        server.later(faults.takeDelayMillis(), () -> end(job, reply));
    }

    private void startWaiting() {
        while (busy < limits.slots() && !waiting.isEmpty()) {
            Job next = waiting.remove();
            if (clock.getAsLong() - next.atMillis >= next.deadlineMillis()) {
                inFlight--;
                refuse(next);
            } else {
                run(next);
            }
        }
    }

    private void end(Job job, Reply reply) {
        if (faults.takeDeath()) {
            job.responder.breakOff(reply);
            Runtime.getRuntime().halt(137);
        } else if (faults.takeBreak()) {
            job.responder.breakOff(reply);
        } else if (!faults.isSilent(job.call.connection())) {
            job.responder.send(reply);
        }
        synchronized (this) {
            inFlight--;
        }
    }

    private void refuse(Job job) {
        refused++;
        Reply reply = Reply.error(503, closing ? "leaving" : "busy");
        job.responder.send(mark(reply, job.request()).withHeader("Peridot-Not-Run", "true"));
    }

    private Reply mark(Reply reply, String request) {
        Reply marked = reply.withHeader("Peridot-Request", request);
        return leaving ? marked.withHeader("Peridot-Leaving", "true") : marked;
    }

    private ObjectNode body(Job job) {
        ObjectNode body = Json.object().put("server", limits.name());
        body.put("request", job.request()).put("path", job.call.path());
        ObjectNode query = body.putObject("query");
        job.call.query().forEach(query::put);
        if (job.isWatch()) {
            long cursor = job.call.number("cursor", 0);
            boolean event = !leaving && job.segmentMillis() >= limits.watchEventMillis();
            body.putArray("events").addAll(event ? events(cursor) : Json.MAPPER.createArrayNode());
            body.put("cursor", event ? cursor + 1 : cursor);
        }
        long padding = Math.min(job.call.number("bytes", 0), LARGEST_PADDING);
        return padding > 0 ? body.put("padding", "x".repeat((int) padding)) : body;
    }

    private static ArrayNode events(long cursor) {
        return Json.MAPPER.createArrayNode().add("event-" + (cursor + 1));
    }

    private ObjectNode record() {
        ObjectNode body = Json.object().put("server", limits.name());
        body.put("served", served).put("refused", refused).put("inFlight", inFlight);
        body.put("busy", busy).put("connections", server.openConnections());
        body.set("plans", plans.deepCopy());
        return body;
    }

    /**
     * A response before the faults.
     *
     * @param request the id of the request
     * @param body the body
     */
    private record Answer(String request, ObjectNode body) {
        Answer as(String other) {
            return new Answer(other, body);
        }
    }

    /**
     * A request in progress.
     *
     * @param call the request
     * @param responder ends the request
     * @param atMillis when it arrived
     */
    private record Job(Call call, Responder responder, long atMillis) {
        String request() {
            return call.header("Peridot-Request").orElse("");
        }

        String kind() {
            return call.header("Peridot-Kind").orElse("").toLowerCase(Locale.ROOT);
        }

        boolean isWatch() {
            return kind().equals("watch");
        }

        boolean isPlan() {
            return kind().equals("non-idempotent");
        }

        long segmentMillis() {
            return call.headerNumber("Peridot-Segment-Ms", 10_000);
        }

        long deadlineMillis() {
            return call.headerNumber("Peridot-Deadline-Ms", 60_000);
        }
    }
}
