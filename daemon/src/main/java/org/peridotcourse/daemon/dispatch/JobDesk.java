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
final class JobDesk {
    /** Time for one call to the store; another host is tried after that. */
    private static final long TIMEOUT_MILLIS = 800;

    /** Pause before a caller should come back while the store is away. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final HostParts parts;
    private final Function<String, OptionalInt> pending;

    JobDesk(HostParts parts, Function<String, OptionalInt> pending) {
        this.parts = parts;
        this.pending = pending;
    }

    /** How a call went on the store. */
    sealed interface Outcome permits Answered, Away {}

    /**
     * The call has its answer.
     *
     * @param answer the answer
     */
    record Answered(JobAnswer answer) implements Outcome {}

    /**
     * The store gave no answer.
     *
     * @param trouble why
     * @param mayHaveEffect true if the call may have taken effect
     */
    record Away(StoreTrouble trouble, boolean mayHaveEffect) implements Outcome {
        /** Returns what the caller is told if no other host can help. */
        JobAnswer toAnswer() {
            return mayHaveEffect
                    ? new JobAnswer.Unsettled()
                    : new JobAnswer.Refused(JobAnswer.Reason.STORE_AWAY, RETRY_AFTER_MILLIS);
        }
    }

    /** Carries an admitted call out. */
    void handle(Admission.Admitted admitted, JobRequest request, Consumer<Outcome> handler) {
        if (request instanceof JobRequest.Submit submit) {
            accept(admitted, submit, handler);
        } else if (request instanceof JobRequest.Show show) {
            show(show.id(), handler);
        } else if (request instanceof JobRequest.Cancel cancel) {
            cancel(cancel.id(), handler);
        } else {
            handler.accept(count(admitted.route().queue().name()));
        }
    }

    private Outcome count(String queue) {
        OptionalInt count = pending.apply(queue);
        return count.isPresent()
                ? new Answered(new JobAnswer.Pending(count.getAsInt()))
                : new Away(StoreTrouble.OUTDATED, false);
    }

    private void accept(
            Admission.Admitted admitted, JobRequest.Submit submit, Consumer<Outcome> handler) {
        byte[] row =
                RowCodec.job(
                        admitted.customer(),
                        admitted.route().queue(),
                        System.currentTimeMillis(),
                        submit.body());
        if (row.length > parts.settings().limits().maxRow()) {
            handler.accept(new Answered(new JobAnswer.Malformed("the job is larger than a row")));
            return;
        }
        RowWrite write =
                RowWrite.builder(Rows.PART)
                        .expect(Rows.JOBS, submit.id(), 0)
                        .expect(Rows.PROGRESS, submit.id(), 0)
                        .put(Rows.JOBS, submit.id(), row)
                        .put(Rows.PROGRESS, submit.id(), RecordCodec.encode(JobRecord.NEW))
                        .build();
        parts.store()
                .write(
                        write,
                        TIMEOUT_MILLIS,
                        outcome -> {
                            if (outcome instanceof RowOutcome.Written) {
                                handler.accept(new Answered(new JobAnswer.Accepted()));
                            } else if (outcome instanceof RowOutcome.Conflict conflict) {
                                handler.accept(new Answered(repeated(submit, conflict)));
                            } else {
                                handler.accept(away(outcome));
                            }
                        });
    }

    /** The id is taken: by this job, or by another one. */
    private static JobAnswer repeated(JobRequest.Submit submit, RowOutcome.Conflict conflict) {
        Optional<StoredRow> job = conflict.row(Rows.JOBS, submit.id());
        boolean other =
                job.isPresent() && !Arrays.equals(RowCodec.body(job.get().value()), submit.body());
        return other ? new JobAnswer.OtherJob() : new JobAnswer.Accepted();
    }

    private void show(String id, Consumer<Outcome> handler) {
        parts.store()
                .read(
                        RowRange.one(Rows.PROGRESS, Rows.PART, id),
                        TIMEOUT_MILLIS,
                        result -> handler.accept(shown(id, result)));
    }

    private Outcome shown(String id, Result<RowSet> result) {
        if (!(result instanceof Result.Ok<RowSet> ok)) {
            return away(result);
        }
        Optional<StoredRow> row = ok.value().row(id);
        if (row.isEmpty()) {
            return new Answered(new JobAnswer.Unknown());
        }
        Optional<JobState> state =
                RecordCodec.decode(row.get().value()).toOptional().map(JobRecord::state);
        return state.<Outcome>map(known -> new Answered(new JobAnswer.State(known)))
                .orElseGet(() -> new Away(StoreTrouble.MISUNDERSTOOD, false));
    }

    private void cancel(String id, Consumer<Outcome> handler) {
        parts.store()
                .read(
                        RowRange.one(Rows.JOBS, Rows.PART, id),
                        TIMEOUT_MILLIS,
                        result -> {
                            if (!(result instanceof Result.Ok<RowSet> ok)) {
                                handler.accept(away(result));
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
                RowWrite.builder(Rows.PART)
                        .expect(Rows.JOBS, id, version)
                        .put(Rows.CANCELS, id, new byte[] {'{', '}'})
                        .build();
        parts.store()
                .write(
                        write,
                        TIMEOUT_MILLIS,
                        outcome -> {
                            if (outcome instanceof RowOutcome.Written) {
                                handler.accept(new Answered(new JobAnswer.Cancelled()));
                            } else if (outcome instanceof RowOutcome.Conflict) {
                                cancelEnded(id, handler);
                            } else {
                                handler.accept(away(outcome));
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

    private static Away away(RowOutcome outcome) {
        StoreTrouble trouble = outcome.trouble().orElseThrow();
        return new Away(trouble, outcome instanceof RowOutcome.Unknown);
    }

    private static Away away(Result<RowSet> result) {
        return new Away(StoreTrouble.of(result), false);
    }
}
