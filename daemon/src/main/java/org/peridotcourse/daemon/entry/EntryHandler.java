package org.peridotcourse.daemon.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.peridotcourse.Result;
import org.peridotcourse.routing.NotRunReason;

/**
 * Takes callers' requests from Grizzly and hands them to the router or the job duty. It is
 * thread-safe and does not block.
 */
final class EntryHandler extends HttpHandler {
    /** Retry-after time of a full ring, which empties within milliseconds. */
    static final long RETRY_AFTER_MILLIS = 200;

    private final RequestIds ids;
    private final RequestSink requests;
    private final JobSink jobs;
    private final LongSupplier clock;
    private final BodyBudget budget;

    private volatile boolean closing;

    EntryHandler(
            RequestIds ids,
            RequestSink requests,
            JobSink jobs,
            BodyBudget budget,
            LongSupplier clock) {
        this.ids = ids;
        this.requests = requests;
        this.jobs = jobs;
        this.budget = budget;
        this.clock = clock;
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

    /** From now on, every response asks its caller to close the connection. */
    void closeConnections() {
        closing = true;
    }

    @Override
    public void service(Request request, Response response) {
        String id = ids.next();
        CallerExchange exchange = new CallerExchange(id, request, response, clock, budget);
        if (closing) {
            exchange.closeAfterwards();
        }
        Map<String, List<String>> headers = toMap(request.getRequest().getHeaders());
        Optional<MalformedRequest> framing = RequestParser.checkFraming(headers);
        if (framing.isPresent()) {
            exchange.refuseRaw(Answers.malformed(id, framing.get()));
            return;
        }
        Optional<byte[]> body = exchange.begin();
        if (body.isEmpty()) {
            return;
        }
        String path = request.getRequestURI();
        String method = request.getMethod().getMethodString();
        if (path.startsWith("/jobs/")) {
            submitJob(new JobCall(id, method, path, body.get()), exchange);
        } else {
            submit(
                    RequestParser.parse(id, method, path, request.getQueryString(), headers),
                    body.get(),
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

    private static void refuseFull(CallerExchange exchange) {
        exchange.answer(Answers.notRun(exchange.id(), NotRunReason.RING_FULL, RETRY_AFTER_MILLIS));
    }

    private static Map<String, List<String>> toMap(MimeHeaders mime) {
        Map<String, List<String>> headers = new HashMap<>();
        for (int i = 0; i < mime.size(); i++) {
            headers.computeIfAbsent(
                            mime.getName(i).toString().toLowerCase(Locale.ROOT),
                            name -> new ArrayList<>(1))
                    .add(mime.getValue(i).toString());
        }
        return headers;
    }
}
