package org.peridotcourse.daemon.entry;

import java.util.function.LongSupplier;
import org.peridotcourse.Result;

/**
 * Takes callers' requests from Grizzly and hands them to the router or the job duty. It is
 * thread-safe and does not block.
 */
final class EntryHandler extends CallerHandler {
    /** Retry-after time of a full ring, which empties within milliseconds. */
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
     * @param maxHead the largest head in bytes
     * @param maxBody the largest body in bytes
     * @param maxConnections the largest number of connections
     * @param readTimeoutMillis the longest time in which a request arrives
     */
    record Limits(int maxHead, int maxBody, int maxConnections, long readTimeoutMillis) {}

    @Override
    void take(IncomingCall call, CallerExchange exchange) {
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
            exchange.onGone(() -> requests.callerGone(exchange.id()));
            if (!requests.submit(ok.value().withBody(body), exchange)) {
                refuseFull(exchange);
            }
        } else {
            MalformedRequest fault = (MalformedRequest) parsed.failure().orElseThrow();
            exchange.answer(Answers.malformed(exchange.id(), fault));
        }
    }

    private void submitJob(JobCall call, CallerExchange exchange) {
        if (!jobs.submit(call, exchange)) {
            refuseFull(exchange);
        }
    }
}
