package org.peridotcourse.standins;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * A measurement of the resource usage of a worker's tasks and of the latency of its services.
 * Instances are immutable.
 *
 * @param atMillis the time of the measurement, by the worker's clock
 * @param usageByAttempt millicores and memory in MiB, by task and attempt
 * @param p99ByWorkload p99 latency in milliseconds, by service workload
 */
record WorkerUsage(
        long atMillis, Map<String, long[]> usageByAttempt, Map<String, Long> p99ByWorkload) {
    /**
     * Measures the running tasks. The noise of the batch tasks on the worker increases the latency
     * of each service.
     *
     * @param taskAttempts the tasks
     * @param noiseFactor an additional factor for the latency of every service
     * @param nowMillis the current time
     * @return the measurement
     */
    static WorkerUsage measure(
            Collection<WorkerTask> taskAttempts, double noiseFactor, long nowMillis) {
        Map<String, long[]> usageByAttempt = new HashMap<>();
        Map<String, Long> p99ByWorkload = new TreeMap<>();
        double noise = noiseFactor - 1;
        for (WorkerTask task : taskAttempts) {
            usageByAttempt.put(
                    attemptKey(task.id(), task.attempt()),
                    new long[] {task.usedMilliCores(), task.usedMemoryMib()});
            if (task.isBatch() && task.isRunning()) {
                noise += task.noise() * noiseFactor;
            }
        }
        for (WorkerTask task : taskAttempts) {
            if (!task.isBatch() && task.isRunning()) {
                p99ByWorkload.put(task.workload(), Math.round(task.baseP99Millis() * (1 + noise)));
            }
        }
        return new WorkerUsage(nowMillis, usageByAttempt, p99ByWorkload);
    }

    long milliCores(String task, long attempt) {
        return usageOf(task, attempt, 0);
    }

    long memoryMib(String task, long attempt) {
        return usageOf(task, attempt, 1);
    }

    private long usageOf(String task, long attempt, int index) {
        long[] used = usageByAttempt.get(attemptKey(task, attempt));
        return used == null ? 0 : used[index];
    }

    private static String attemptKey(String task, long attempt) {
        return task + "#" + attempt;
    }
}
