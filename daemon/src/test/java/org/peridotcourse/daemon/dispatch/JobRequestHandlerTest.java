package org.peridotcourse.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.Resources;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.ring.EventLoop;
import org.peridotcourse.dispatch.ClusterConfig;
import org.peridotcourse.dispatch.JobRecord;
import org.peridotcourse.dispatch.JobSpec;
import org.peridotcourse.dispatch.JobState;
import org.peridotcourse.dispatch.QueueRules;
import org.peridotcourse.dispatch.Schedule;
import org.peridotcourse.dispatch.StepSpec;

/**
 * Guards against answers to callers that rest on rows which change while the call is executed, or
 * which a write that was sent before changes afterwards.
 */
class JobRequestHandlerTest {
    private static final long TIMEOUT_SECONDS = 10;
    private static final String ID = "00000000000000a1";
    private static final byte[] BODY = "{\"spec\":\"a\"}".getBytes(StandardCharsets.UTF_8);
    private static final QueueRules QUEUE =
            new QueueRules("q", "service", 0, 1, 1, 0, Optional.empty());
    private static final Admission.Admitted ADMITTED =
            new Admission.Admitted(
                    new ClusterConfig.Route("jobs.example", "/q/", QUEUE, false), Optional.empty());
    private static final JobSpec SPEC =
            new JobSpec(
                    "a",
                    List.of(StepSpec.builder(1, Resources.of(100, 10, 0)).build()),
                    Schedule.ONCE);

    private final EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(16));
    private final EventLoop loop = new EventLoop("test", 1_024, Throwable::printStackTrace);
    private final FakeRowStore store = new FakeRowStore(loop);
    private final JobRequestHandler requests =
            new JobRequestHandler(
                    TestSettings.components(loop, store, log), queue -> OptionalInt.empty());

    @BeforeEach
    void start() {
        loop.start();
    }

    @AfterEach
    void close() {
        loop.close();
    }

    /** Runs a task on the event loop and waits for the value that it passes on. */
    private <T> T await(Consumer<Consumer<T>> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> task.accept(result::complete));
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private JobRequestHandler.Outcome execute(JobRequest request) throws Exception {
        return await(handler -> requests.execute(ADMITTED, request, handler));
    }

    private JobRequestHandler.Outcome submit() throws Exception {
        return execute(new JobRequest.Submit(ID, SPEC, BODY));
    }

    private JobRequestHandler.Outcome cancel() throws Exception {
        return execute(new JobRequest.Cancel(ID));
    }

    private static JobRequestHandler.Outcome answered(JobAnswer answer) {
        return new JobRequestHandler.Answered(answer);
    }

    private static JobAnswer answerOf(JobRequestHandler.Outcome outcome) {
        return assertInstanceOf(JobRequestHandler.Answered.class, outcome).answer();
    }

    private int rowCount(String table) throws Exception {
        return this.<Integer>await(handler -> handler.accept(store.table(table).size()));
    }

    /**
     * The store executed the acceptance between the two reads of a cancellation. The progress that
     * the second one found was taken for that of a job which had ended, so the caller was told that
     * the job was cancelled, and it ran.
     */
    @Test
    void aJobThatIsAcceptedWhileItIsCancelledIsCancelled() throws Exception {
        store.appliesNextWriteLate = true;
        JobRequestHandler.Outcome submitted = submit();
        assertTrue(((JobRequestHandler.Failed) submitted).mayHaveTakenEffect());
        assertEquals(answered(new JobAnswer.Cancelled()), cancel());
        assertEquals(1, rowCount(RowNames.JOBS), "the job was accepted late");
        assertEquals(1, rowCount(RowNames.CANCELS), "and its cancellation is stored");
    }

    /** The same, but the acceptance is executed before the cancellation withdraws the id. */
    @Test
    void aJobThatIsAcceptedBeforeItsIdIsWithdrawnIsCancelled() throws Exception {
        store.appliesNextWriteLate = true;
        store.readsBeforeLateWrite = 2;
        submit();
        assertEquals(answered(new JobAnswer.Cancelled()), cancel());
        assertEquals(1, rowCount(RowNames.CANCELS));
        assertEquals(0, rowCount(RowNames.WITHDRAWN));
    }

    @Test
    void aJobThatHasEndedIsReportedAsCancelledWithoutAWrite() throws Exception {
        byte[] progress = RecordCodec.encode(new JobRecord(JobState.COMPLETED, 1, List.of()));
        this.<RowOutcome>await(
                handler ->
                        store.write(
                                RowWrite.builder(RowNames.PART)
                                        .put(RowNames.PROGRESS, ID, progress)
                                        .build(),
                                0,
                                handler));
        assertEquals(answered(new JobAnswer.Cancelled()), cancel());
        assertEquals(0, rowCount(RowNames.CANCELS) + rowCount(RowNames.WITHDRAWN));
        assertEquals(answered(new JobAnswer.Accepted()), submit(), "a repeat of the job");
    }

    @Test
    void anIdStaysWithdrawnForAllLaterSubmissions() throws Exception {
        assertEquals(answered(new JobAnswer.Unknown()), cancel());
        assertEquals(answered(new JobAnswer.Unknown()), cancel(), "a repeated cancellation");
        assertEquals(answered(new JobAnswer.Withdrawn()), submit());
        assertEquals(answered(new JobAnswer.Unknown()), execute(new JobRequest.Show(ID)));
        assertEquals(0, rowCount(RowNames.JOBS));
    }

    /** Cancelling unknown ids must neither use up the writes to the store nor affect real jobs. */
    @Test
    void aCallerThatCancelsManyUnknownIdsIsLimited() throws Exception {
        submit();
        int calls = 2 * WithdrawalLimiter.BURST;
        List<JobAnswer> answers = new ArrayList<>();
        this.<Boolean>await(
                done -> {
                    for (int i = 0; i < calls; i++) {
                        requests.execute(
                                ADMITTED,
                                new JobRequest.Cancel("unknown-" + i),
                                outcome -> {
                                    answers.add(answerOf(outcome));
                                    if (answers.size() == calls) {
                                        done.accept(true);
                                    }
                                });
                    }
                });
        long refused =
                answers.stream()
                        .filter(JobAnswer.Refused.class::isInstance)
                        .map(JobAnswer.Refused.class::cast)
                        .filter(answer -> answer.reason() == JobAnswer.Reason.TOO_MANY_CALLS)
                        .count();
        assertTrue(refused > 0, answers.toString());
        assertEquals(calls - refused, rowCount(RowNames.WITHDRAWN));
        assertEquals(answered(new JobAnswer.Cancelled()), cancel(), "a job is still cancelled");
    }

    @Test
    void aWithdrawalWithoutAnAnswerIsInDoubt() throws Exception {
        store.answersToLose = 1;
        assertTrue(((JobRequestHandler.Failed) cancel()).mayHaveTakenEffect());
        assertEquals(answered(new JobAnswer.Unknown()), cancel());
    }
}
