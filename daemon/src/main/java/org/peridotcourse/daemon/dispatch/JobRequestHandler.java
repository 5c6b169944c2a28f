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
 * Carries out callers' calls on the store. Confined to the loop.
 *
 * <p>A job is accepted by one conditional transaction, so a repeat of the call, here or on another
 * host, neither creates a second job nor loses the first one.
 */
final class JobRequestHandler {
    /** Time for one call to the store; another host is tried after that. */
    private static final long TIMEOUT_MILLIS = 800;

    /** Pause before a caller should come back while the store is away. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final HostComponents components;
    private final Function<String, OptionalInt> pendingJobs;

    JobRequestHandler(HostComponents parts, Function<String, OptionalInt> pending) {
        this.components = parts;
        this.pendingJobs = pending;
    }

    /** How a call went on the store. */
    sealed interface Outcome permits Answered, Failed {}

    /**
     * The call has its answer.
     *
     * @param answer the answer
     */
    record Answered(JobAnswer answer) implements Outcome {}

    /**
     * The store gave no answer.
     *
     * @param cause why
     * @param mayHaveTakenEffect true if the call may have taken effect
     */
    record Failed(RowStoreFailure cause, boolean mayHaveTakenEffect) implements Outcome {
        /** Returns what the caller is told if no other host can help. */
        JobAnswer toAnswer() {
            return mayHaveTakenEffect
                    ? new JobAnswer.Unsettled()
                    : new JobAnswer.Refused(JobAnswer.Reason.STORE_AWAY, RETRY_AFTER_MILLIS);
        }
    }

    /** Carries an admitted call out. */
    void execute(Admission.Admitted admitted, JobRequest request, Consumer<Outcome> handler) {
        if (request instanceof JobRequest.Submit submit) {
            accept(admitted, submit, handler);
        } else if (request instanceof JobRequest.Show show) {
            show(show.id(), handler);
        } else if (request instanceof JobRequest.Cancel cancel) {
            cancel(cancel.id(), handler);
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
                                handler.accept(new Answered(answerToRepeat(submit, conflict)));
                            } else {
                                handler.accept(failed(outcome));
                            }
                        });
    }

    /** The id is taken: by this job, or by another one. */
    private static JobAnswer answerToRepeat(
            JobRequest.Submit submit, RowOutcome.Conflict conflict) {
        Optional<StoredRow> job = conflict.row(RowNames.JOBS, submit.id());
        boolean other =
                job.isPresent() && !Arrays.equals(RowCodec.body(job.get().value()), submit.body());
        return other ? new JobAnswer.OtherJob() : new JobAnswer.Accepted();
    }

    private void show(String id, Consumer<Outcome> handler) {
        components
                .store()
                .read(
                        RowRange.ofKey(RowNames.PROGRESS, RowNames.PART, id),
                        TIMEOUT_MILLIS,
                        result -> handler.accept(toState(id, result)));
    }

    private Outcome toState(String id, Result<RowSet> result) {
        if (!(result instanceof Result.Ok<RowSet> ok)) {
            return failed(result);
        }
        Optional<StoredRow> row = ok.value().row(id);
        if (row.isEmpty()) {
            return new Answered(new JobAnswer.Unknown());
        }
        Optional<JobState> state =
                RecordCodec.decode(row.get().value()).toOptional().map(JobRecord::state);
        return state.<Outcome>map(known -> new Answered(new JobAnswer.State(known)))
                .orElseGet(() -> new Failed(RowStoreFailure.MISUNDERSTOOD, false));
    }

    private void cancel(String id, Consumer<Outcome> handler) {
        components
                .store()
                .read(
                        RowRange.ofKey(RowNames.JOBS, RowNames.PART, id),
                        TIMEOUT_MILLIS,
                        result -> {
                            if (!(result instanceof Result.Ok<RowSet> ok)) {
                                handler.accept(failed(result));
                                return;
                            }
                            Optional<StoredRow> row = ok.value().row(id);
                            if (row.isPresent()) {
                                writeCancel(id, row.get().version(), handler);
                            } else {
                                cancelEnded(id, handler);
                            }
                        });
    }

    private void writeCancel(String id, long version, Consumer<Outcome> handler) {
        RowWrite write =
                RowWrite.builder(RowNames.PART)
                        .expect(RowNames.JOBS, id, version)
                        .put(RowNames.CANCELS, id, new byte[] {'{', '}'})
                        .build();
        components
                .store()
                .write(
                        write,
                        TIMEOUT_MILLIS,
                        outcome -> {
                            if (outcome instanceof RowOutcome.Written) {
                                handler.accept(new Answered(new JobAnswer.Cancelled()));
                            } else if (outcome instanceof RowOutcome.Conflict) {
                                cancelEnded(id, handler);
                            } else {
                                handler.accept(failed(outcome));
                            }
                        });
    }

    /** A job without its body has ended, or never was. */
    private void cancelEnded(String id, Consumer<Outcome> handler) {
        show(
                id,
                outcome -> {
                    boolean known =
                            outcome instanceof Answered answered
                                    && answered.answer() instanceof JobAnswer.State;
                    handler.accept(known ? new Answered(new JobAnswer.Cancelled()) : outcome);
                });
    }

    private static Failed failed(RowOutcome outcome) {
        RowStoreFailure trouble = outcome.failure().orElseThrow();
        return new Failed(trouble, outcome instanceof RowOutcome.Unknown);
    }

    private static Failed failed(Result<RowSet> result) {
        return new Failed(RowStoreFailure.of(result), false);
    }
}
