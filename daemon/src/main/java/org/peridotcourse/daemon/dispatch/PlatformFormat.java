package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.entry.CallerResponse;
import org.peridotcourse.daemon.entry.IncomingCall;
import org.peridotcourse.dispatch.JobSpec;
import org.peridotcourse.dispatch.WorkerInfo;

/**
 * Translates between the platform's formats and the product's types. Implementations contain no
 * decision logic, hold no state and are thread-safe.
 */
public interface PlatformFormat {
    /**
     * Returns the table that the operator writes.
     *
     * @return the name of the table
     */
    String operatorTable();

    /**
     * Returns the table in which workers register.
     *
     * @return the name of the table
     */
    String workerTable();

    /**
     * Reads a row of the operator.
     *
     * @param row the row
     * @return the parsed row, or why it cannot be parsed
     */
    Result<OperatorRow> operatorRow(StoredRow row);

    /**
     * Reads a row of a worker.
     *
     * @param row the row
     * @return the worker, or why the row cannot be parsed
     */
    Result<WorkerInfo> worker(StoredRow row);

    /**
     * Reads the body of a job.
     *
     * @param body the unchanged body of the call
     * @return the job, or why it is malformed
     */
    Result<JobSpec> job(byte[] body);

    /**
     * Reads a caller's call to a queue.
     *
     * @param call the call
     * @param prefix the beginning of the path that selected the queue
     * @return the request, or why it is malformed
     */
    Result<JobRequest> request(IncomingCall call, String prefix);

    /**
     * Reads the time-out of a caller.
     *
     * @param call the call
     * @return the time in milliseconds, or empty if the call does not contain it
     */
    Optional<Long> callerTimeoutMillis(IncomingCall call);

    /**
     * Reads the API key that a call carries.
     *
     * @param call the call
     * @return the key, or empty if there is none or its header is malformed
     */
    Optional<String> apiKey(IncomingCall call);

    /**
     * Writes an answer.
     *
     * @param answer the answer
     * @return the response
     */
    CallerResponse response(JobAnswer answer);

    /**
     * Returns the response to a readiness check.
     *
     * @param ready true if the host accepts calls
     * @return the response
     */
    CallerResponse readiness(boolean ready);
}
