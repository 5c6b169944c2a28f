package org.peridotcourse.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.ProcessEvent;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.TableStore;
import org.peridotcourse.daemon.platform.Transaction;
import org.peridotcourse.daemon.platform.WriteOutcome;
import org.peridotcourse.daemon.ring.EventRing;

/**
 * The thread that submits, reads and cancels jobs as rows of the table {@code jobs}.
 *
 * <p>A submission is a conditional insert. If the table service does not confirm the write, the
 * response has the outcome {@code unknown}. Repeating the same call never creates a second job,
 * because the name of the job is the row key. Public methods are thread-safe.
 */
public final class JobThread implements JobSink, AutoCloseable {
    private static final String TABLE = "jobs";

    /**
     * Names that were cancelled while no job had them. No job is accepted under such a name, since
     * a submission without a response may still reach the table service.
     */
    private static final String WITHDRAWN_TABLE = "withdrawn-jobs";

    private static final int RING_CAPACITY = 256;
    private static final int WRITE_ATTEMPTS = 3;
    private static final int CANCEL_ATTEMPTS = 5;
    private static final long IDLE_MILLIS = 1_000;

    /** For this time after a store call without a response, further calls are refused at once. */
    private static final long STORE_RETRY_DELAY_MILLIS = 500;

    private final TableStore store;
    private final RequestIds transactions;
    private final Predicate<CustomerId> isKnownCustomer;
    private final LongSupplier clock;
    private final EventLog log;
    private final EventRing<PendingCall> ring = new EventRing<>(RING_CAPACITY);
    private final Thread thread = new Thread(this::loop, "jobs");

    private volatile boolean running = true;
    private volatile boolean processing;
    private long storeRetryAtMillis = Long.MIN_VALUE;

    JobThread(
            TableStore store,
            RequestIds transactions,
            Predicate<CustomerId> isKnownCustomer,
            LongSupplier clock,
            EventLog log) {
        this.store = store;
        this.transactions = transactions;
        this.isKnownCustomer = isKnownCustomer;
        this.clock = clock;
        this.log = log;
    }

    /** A call that waits for the thread. */
    private record PendingCall(JobCall call, Caller caller) {}

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Returns the number of calls without a response.
     *
     * @return the number
     */
    public int pending() {
        return ring.size() + (processing ? 1 : 0);
    }

    @Override
    public boolean submit(JobCall call, Caller caller) {
        return ring.offer(new PendingCall(call, caller));
    }

    @Override
    public void close() {
        running = false;
        ring.join(thread, TimeUnit.SECONDS.toMillis(2));
    }

    private void loop() {
        while (running) {
            processing = true;
            PendingCall pendingCall = ring.poll();
            if (pendingCall == null) {
                processing = false;
                ring.await(IDLE_MILLIS);
                continue;
            }
            try {
                handle(pendingCall);
            } catch (RuntimeException fault) {
                ProcessEvent.recordFault(log, "jobs", fault);
                pendingCall
                        .caller()
                        .respond(JobFailure.STORE_UNSETTLED.toResponse(pendingCall.call().id()));
            }
        }
    }

    private void handle(PendingCall pendingCall) {
        JobCall call = pendingCall.call();
        Result<JobRequest.Name> name = JobRequest.parsePath(call.path());
        CallerResponse response;
        if (!(name instanceof Result.Ok<JobRequest.Name> ok)) {
            response =
                    Responses.malformed(call.id(), (MalformedRequest) name.failure().orElseThrow());
        } else if (!isKnownCustomer.test(ok.value().customer())) {
            response = JobFailure.UNKNOWN_CUSTOMER.toResponse(call.id());
        } else if (clock.getAsLong() < storeRetryAtMillis) {
            response = JobFailure.STORE_UNAVAILABLE.toResponse(call.id());
        } else {
            response =
                    switch (call.method()) {
                        case "PUT" -> submit(call, ok.value());
                        case "GET" -> read(call, ok.value());
                        case "DELETE" -> cancel(call, ok.value());
                        default -> JobFailure.METHOD.toResponse(call.id());
                    };
        }
        log.event(RequestEvent.JOB_CALLED)
                .with("request", call.id())
                .with("job", call.path())
                .with("method", call.method())
                .with("status", response.status())
                .forSubject(call.id())
                .write();
        pendingCall.caller().respond(response);
    }

    private CallerResponse submit(JobCall call, JobRequest.Name name) {
        Result<ObjectNode> submission = JobRequest.parseSubmission(name, call.body());
        if (!(submission instanceof Result.Ok<ObjectNode> ok)) {
            return Responses.malformed(
                    call.id(), (MalformedRequest) submission.failure().orElseThrow());
        }
        ObjectNode row = ok.value();
        row.put("cancel", false);
        row.put("state", "submitted");
        Transaction insert =
                Transaction.builder(transactions.next())
                        .check(TABLE, name.rowKey(), 0)
                        .check(WITHDRAWN_TABLE, name.rowKey(), 0)
                        .put(TABLE, name.rowKey(), row)
                        .build();
        WriteOutcome outcome = store.writeWithRetries(insert, WRITE_ATTEMPTS);
        if (outcome instanceof WriteOutcome.Committed) {
            return rowResponse(call, 201, row);
        }
        if (outcome instanceof WriteOutcome.Unknown) {
            storeRetryAtMillis = clock.getAsLong() + STORE_RETRY_DELAY_MILLIS;
            return JobFailure.STORE_UNSETTLED.toResponse(call.id());
        }
        if (outcome instanceof WriteOutcome.Conflict conflict && isWithdrawn(conflict)) {
            return JobFailure.WITHDRAWN.toResponse(call.id());
        }
        Result<Optional<Row>> existing = readRow(name);
        if (!existing.isOk()) {
            // The conflict shows that a job has the name: perhaps this one, submitted before.
            return JobFailure.STORE_UNSETTLED.toResponse(call.id());
        }
        Optional<JsonNode> value =
                existing.toOptional().flatMap(found -> found).flatMap(Row::value);
        if (value.isEmpty()) {
            return JobFailure.CONTENTION.toResponse(call.id());
        }
        return JobRequest.hasSameSpecification(row, value.get())
                ? rowResponse(call, 200, value.get())
                : JobFailure.NAME_TAKEN.toResponse(call.id());
    }

    private static boolean isWithdrawn(WriteOutcome.Conflict conflict) {
        return conflict.rows().stream().anyMatch(row -> row.table().equals(WITHDRAWN_TABLE));
    }

    private CallerResponse read(JobCall call, JobRequest.Name name) {
        Result<Optional<Row>> found = readRow(name);
        if (!found.isOk()) {
            return JobFailure.STORE_UNAVAILABLE.toResponse(call.id());
        }
        return found.toOptional()
                .flatMap(row -> row)
                .flatMap(Row::value)
                .map(value -> rowResponse(call, 200, value))
                .orElseGet(() -> JobFailure.UNKNOWN_JOB.toResponse(call.id()));
    }

    private CallerResponse cancel(JobCall call, JobRequest.Name name) {
        for (int i = 0; i < CANCEL_ATTEMPTS; i++) {
            Result<Optional<Row>> found = readRow(name);
            if (!found.isOk()) {
                return JobFailure.STORE_UNAVAILABLE.toResponse(call.id());
            }
            Optional<Row> row = found.toOptional().flatMap(one -> one);
            Optional<JsonNode> value = row.flatMap(Row::value);
            if (value.isPresent() && value.get().path("cancel").asBoolean()) {
                return rowResponse(call, 200, value.get());
            }
            ObjectNode cancelled = value.map(JobThread::cancelled).orElseGet(JobThread::withdrawal);
            Transaction.Builder update = Transaction.builder(transactions.next());
            if (value.isPresent()) {
                update.check(TABLE, name.rowKey(), row.get().commit())
                        .put(TABLE, name.rowKey(), cancelled);
            } else {
                update.check(TABLE, name.rowKey(), 0)
                        .put(WITHDRAWN_TABLE, name.rowKey(), cancelled);
            }
            WriteOutcome outcome = store.writeWithRetries(update.build(), WRITE_ATTEMPTS);
            if (outcome instanceof WriteOutcome.Committed) {
                return value.isPresent()
                        ? rowResponse(call, 200, cancelled)
                        : JobFailure.UNKNOWN_JOB.toResponse(call.id());
            }
            if (outcome instanceof WriteOutcome.Unknown) {
                storeRetryAtMillis = clock.getAsLong() + STORE_RETRY_DELAY_MILLIS;
                return JobFailure.STORE_UNSETTLED.toResponse(call.id());
            }
        }
        return JobFailure.CONTENTION.toResponse(call.id());
    }

    private static ObjectNode cancelled(JsonNode value) {
        ObjectNode cancelled = value.deepCopy();
        return cancelled.put("cancel", true);
    }

    private static ObjectNode withdrawal() {
        return JsonNodeFactory.instance.objectNode().put("cancel", true);
    }

    private Result<Optional<Row>> readRow(JobRequest.Name name) {
        Result<Optional<Row>> found = store.row(TABLE, name.rowKey());
        if (!found.isOk()) {
            storeRetryAtMillis = clock.getAsLong() + STORE_RETRY_DELAY_MILLIS;
        }
        return found;
    }

    private static CallerResponse rowResponse(JobCall call, int status, JsonNode value) {
        return Responses.json(call.id(), status, "answered", (ObjectNode) value);
    }
}
