package org.peridotcourse.daemon.dispatch;

import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Function;
import org.peridotcourse.Result;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.JobState;

/**
 * Executes callers' requests on the store. Confined to the event loop.
 *
 * <p>A job is accepted by one conditional transaction, so a retry of the call, on this host or
 * another one, neither creates a second job nor loses the first one.
 */
final class JobRequestHandler {
    /** Time for one call to the store; another host is tried after that. */
    static final long TIMEOUT_MILLIS = 800;

    /** Time after which a caller should retry while the store is unavailable. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final HostComponents components;
    private final Function<String, OptionalInt> pendingJobs;
    private final JobCanceller canceller;

    JobRequestHandler(HostComponents components, Function<String, OptionalInt> pendingJobs) {
        this.components = components;
        this.pendingJobs = pendingJobs;
        this.canceller = new JobCanceller(components);
    }

    /** The outcome of a request on the store. */
    sealed interface Outcome permits Answered, Failed {}

    /**
     * The request has an answer.
     *
     * @param answer the answer
     */
    record Answered(JobAnswer answer) implements Outcome {}

    /**
     * The request failed on the store.
     *
     * @param cause why
     * @param mayHaveTakenEffect true if the request may have taken effect
     */
    record Failed(RowStoreFailure cause, boolean mayHaveTakenEffect) implements Outcome {
        /** Returns the answer to the caller if no other host can execute the request. */
        JobAnswer toAnswer() {
            return mayHaveTakenEffect
                    ? new JobAnswer.Unsettled()
                    : new JobAnswer.Refused(JobAnswer.Reason.STORE_AWAY, RETRY_AFTER_MILLIS);
        }
    }

    /** Executes an admitted request. */
    void execute(Admission.Admitted admitted, JobRequest request, Consumer<Outcome> handler) {
        if (request instanceof JobRequest.Submit submit) {
            accept(admitted, submit, handler);
        } else if (request instanceof JobRequest.Show show) {
            show(show.id(), handler);
        } else if (request instanceof JobRequest.Cancel cancel) {
            canceller.cancel(cancel.id(), admitted.customer(), handler);
        } else {
            handler.accept(countPending(admitted.route().queue().name()));
        }
    }

    private Outcome countPending(String queue) {
        OptionalInt count = pendingJobs.apply(queue);
        return count.isPresent()
                ? new Answered(new JobAnswer.Pending(count.getAsInt()))
                : new Failed(RowStoreFailure.OUTDATED, false);
    }

    private void accept(
            Admission.Admitted admitted, JobRequest.Submit submit, Consumer<Outcome> handler) {
        byte[] row =
                RowCodec.job(
                        admitted.customer(),
                        admitted.route().queue(),
                        System.currentTimeMillis(),
                        submit.body());
        if (row.length > components.settings().limits().maxRowBytes()) {
            handler.accept(new Answered(new JobAnswer.Malformed("the job is larger than a row")));
            return;
        }
        RowWrite write =
                RowWrite.builder(RowNames.PART)
                        .expect(RowNames.JOBS, submit.id(), 0)
                        .expect(RowNames.PROGRESS, submit.id(), 0)
                        .expect(RowNames.WITHDRAWN, submit.id(), 0)
                        .put(RowNames.JOBS, submit.id(), row)
                        .put(RowNames.PROGRESS, submit.id(), RecordCodec.encode(JobRecord.NEW))
                        .build();
        components
                .store()
                .write(
                        write,
                        TIMEOUT_MILLIS,
                        outcome -> {
                            if (outcome instanceof RowOutcome.Written) {
                                handler.accept(new Answered(new JobAnswer.Accepted()));
                            } else if (outcome instanceof RowOutcome.Conflict conflict) {
                                handler.accept(answerToRepeat(submit, conflict));
                            } else {
                                handler.accept(failed(outcome));
                            }
                        });
    }

    /**
     * Returns the answer to a submission whose id is already used, by the same job or by another
     * one, or was withdrawn.
     */
    private static Outcome answerToRepeat(JobRequest.Submit submit, RowOutcome.Conflict conflict) {
        Optional<StoredRow> job = conflict.row(RowNames.JOBS, submit.id());
        if (job.isPresent()) {
            boolean sameJob = Arrays.equals(RowCodec.body(job.get().value()), submit.body());
            return new Answered(sameJob ? new JobAnswer.Accepted() : new JobAnswer.OtherJob());
        }
        if (conflict.row(RowNames.PROGRESS, submit.id()).isPresent()) {
            return new Answered(new JobAnswer.Accepted());
        }
        return conflict.row(RowNames.WITHDRAWN, submit.id()).isPresent()
                ? new Answered(new JobAnswer.Withdrawn())
                : new Failed(RowStoreFailure.MISUNDERSTOOD, false);
    }

    private void show(String id, Consumer<Outcome> handler) {
        components
                .store()
                .read(
                        RowRange.ofKey(RowNames.PROGRESS, RowNames.PART, id),
                        TIMEOUT_MILLIS,
                        result -> handler.accept(toState(id, result)));
    }

    /** Returns the state of a job from its progress row. */
    static Outcome toState(String id, Result<RowSet> result) {
        if (!(result instanceof Result.Ok<RowSet> ok)) {
            return failed(result);
        }
        Optional<StoredRow> row = ok.value().row(id);
        if (row.isEmpty()) {
            return new Answered(new JobAnswer.Unknown());
        }
        Optional<JobState> state =
                RecordCodec.decode(row.get().value()).toOptional().map(JobRecord::state);
        return state.<Outcome>map(jobState -> new Answered(new JobAnswer.State(jobState)))
                .orElseGet(() -> new Failed(RowStoreFailure.MISUNDERSTOOD, false));
    }

    static Failed failed(RowOutcome outcome) {
        RowStoreFailure failure = outcome.failure().orElseThrow();
        return new Failed(failure, outcome instanceof RowOutcome.Unknown);
    }

    static Failed failed(Result<RowSet> result) {
        return new Failed(RowStoreFailure.of(result), false);
    }
}
