package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.peridotcourse.Result;

/**
 * Executes cancellations on the store. Confined to the event loop.
 *
 * <p>The absence of a job does not prove that it will never be accepted: the store may still
 * execute a submission whose caller got no answer. So an id without a job is withdrawn by a row of
 * its own, and the transaction that accepts a job requires that there is no such row.
 */
final class JobCanceller {
    /**
     * Attempts for one call. The rows of a job change at most twice while its cancellation is
     * executed, by its acceptance and its end.
     */
    private static final int MAX_ATTEMPTS = 3;

    private final HostComponents components;
    private final WithdrawalLimiter limiter = new WithdrawalLimiter();

    JobCanceller(HostComponents components) {
        this.components = components;
    }

    /** Cancels a job, or withdraws its id if there is no such job. */
    void cancel(String id, Optional<String> customer, Consumer<JobRequestHandler.Outcome> handler) {
        new Cancellation(id, customer, handler).start();
    }

    /** The execution of one cancellation. */
    private final class Cancellation {
        private final String id;
        private final Optional<String> customer;
        private final Consumer<JobRequestHandler.Outcome> handler;
        private int attempts;

        Cancellation(
                String id, Optional<String> customer, Consumer<JobRequestHandler.Outcome> handler) {
            this.id = id;
            this.customer = customer;
            this.handler = handler;
        }

        void start() {
            if (attempts == MAX_ATTEMPTS) {
                handler.accept(new JobRequestHandler.Failed(RowStoreFailure.MISUNDERSTOOD, false));
                return;
            }
            attempts++;
            read(RowNames.JOBS, this::onJobRead);
        }

        private void onJobRead(Result<RowSet> result) {
            if (!(result instanceof Result.Ok<RowSet> ok)) {
                handler.accept(JobRequestHandler.failed(result));
                return;
            }
            Optional<StoredRow> row = ok.value().row(id);
            if (row.isPresent()) {
                cancelJob(row.get().version());
            } else {
                read(RowNames.PROGRESS, this::onProgressRead);
            }
        }

        private void cancelJob(long jobVersion) {
            RowWrite write =
                    RowWrite.builder(RowNames.PART)
                            .expect(RowNames.JOBS, id, jobVersion)
                            .put(RowNames.CANCELS, id, new byte[] {'{', '}'})
                            .build();
            write(write, new JobAnswer.Cancelled());
        }

        /** Handles the progress of a job without a job row, which has ended or never existed. */
        private void onProgressRead(Result<RowSet> result) {
            JobRequestHandler.Outcome outcome = JobRequestHandler.toState(id, result);
            if (!(outcome instanceof JobRequestHandler.Answered answered)) {
                handler.accept(outcome);
            } else if (!(answered.answer() instanceof JobAnswer.State state)) {
                withdraw();
            } else if (state.state().isFinal()) {
                handler.accept(new JobRequestHandler.Answered(new JobAnswer.Cancelled()));
            } else {
                // The job was accepted between the two reads.
                start();
            }
        }

        private void withdraw() {
            long wait = limiter.tryTake(customer, components.loop().nowMillis());
            if (wait > 0) {
                JobAnswer refused = new JobAnswer.Refused(JobAnswer.Reason.TOO_MANY_CALLS, wait);
                handler.accept(new JobRequestHandler.Answered(refused));
                return;
            }
            RowWrite write =
                    RowWrite.builder(RowNames.PART)
                            .expect(RowNames.JOBS, id, 0)
                            .expect(RowNames.PROGRESS, id, 0)
                            .put(
                                    RowNames.WITHDRAWN,
                                    id,
                                    RowCodec.withdrawal(System.currentTimeMillis()))
                            .build();
            write(write, new JobAnswer.Unknown());
        }

        private void read(String table, Consumer<Result<RowSet>> next) {
            components
                    .store()
                    .read(
                            RowRange.ofKey(table, RowNames.PART, id),
                            JobRequestHandler.TIMEOUT_MILLIS,
                            next);
        }

        private void write(RowWrite write, JobAnswer answer) {
            components
                    .store()
                    .write(
                            write,
                            JobRequestHandler.TIMEOUT_MILLIS,
                            outcome -> onWritten(outcome, answer));
        }

        private void onWritten(RowOutcome outcome, JobAnswer answer) {
            if (outcome instanceof RowOutcome.Written) {
                handler.accept(new JobRequestHandler.Answered(answer));
            } else if (outcome instanceof RowOutcome.Conflict) {
                start();
            } else {
                handler.accept(JobRequestHandler.failed(outcome));
            }
        }
    }
}
