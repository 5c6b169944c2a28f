package org.peridotcourse.standins;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the tasks of a worker used at one moment, and how fast its services were. Instances are
 * immutable.
 *
 * @param atMillis the moment, by the worker's clock
 * @param usageByAttempt processor time and memory by task and attempt
 * @param p99ByWorkload p99 by service workload
 */
record WorkerUsage(
        long atMillis, Map<String, long[]> usageByAttempt, Map<String, Long> p99ByWorkload) {
    /**
     * Measures the running tasks. Each service slows by the noise of the batch tasks beside it.
     *
     * @param taskAttempts the tasks
     * @param noiseFactor multiplies the noise
     * @param nowMillis the present time
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
