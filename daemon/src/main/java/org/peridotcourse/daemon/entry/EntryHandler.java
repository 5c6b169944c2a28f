package org.peridotcourse.daemon.entry;

import java.util.function.LongSupplier;
import org.peridotcourse.Result;

/**
 * Passes callers' requests to the router thread, and calls about jobs to the job thread. It is
 * thread-safe and does not block.
 */
final class EntryHandler extends CallerHandler {
    /** Retry-after time if an event ring is full; a ring drains within milliseconds. */
    static final long RETRY_AFTER_MILLIS = 200;

    private final RequestSink requests;
    private final JobSink jobs;

    EntryHandler(
            RequestIds ids,
            RequestSink requests,
            JobSink jobs,
            BodyBudget budget,
            LongSupplier clock) {
        super(ids, budget, clock);
        this.requests = requests;
        this.jobs = jobs;
    }

    /**
     * Limits of callers' requests.
     *
     * @param maxHeadBytes the maximum size of a head, in bytes
     * @param maxBodyBytes the maximum size of a body, in bytes
     * @param maxConnections the maximum number of connections
     * @param readTimeoutMillis the maximum time in which a request must arrive
     */
    record Limits(int maxHeadBytes, int maxBodyBytes, int maxConnections, long readTimeoutMillis) {}

    @Override
    void handle(IncomingCall call, CallerExchange exchange) {
        if (call.path().startsWith("/jobs/")) {
            submitJob(new JobCall(call.id(), call.method(), call.path(), call.body()), exchange);
        } else {
            submit(
                    RequestParser.parse(
                            call.id(),
                            call.method(),
                            call.path(),
                            call.query().orElse(null),
                            call.headers()),
                    call.body(),
                    exchange);
        }
    }

    private void submit(Result<CallerRequest> parsed, byte[] body, CallerExchange exchange) {
        if (parsed instanceof Result.Ok<CallerRequest> ok) {
            exchange.onDisconnect(() -> requests.onCallerDisconnected(exchange.id()));
            if (!requests.submit(ok.value().withBody(body), exchange)) {
                refuseRingFull(exchange);
            }
        } else {
            MalformedRequest fault = (MalformedRequest) parsed.failure().orElseThrow();
            exchange.respond(Responses.malformed(exchange.id(), fault));
        }
    }

    private void submitJob(JobCall call, CallerExchange exchange) {
        if (!jobs.submit(call, exchange)) {
            refuseRingFull(exchange);
        }
    }
}
