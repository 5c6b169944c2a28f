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
 * @param tasks processor time and memory by task and attempt
 * @param services p99 by service workload
 */
record WorkerUsage(long atMillis, Map<String, long[]> tasks, Map<String, Long> services) {
    /**
     * Measures the running tasks. Each service slows by the noise of the batch tasks beside it.
     *
     * @param running the tasks
     * @param factor multiplies the noise
     * @param nowMillis the present time
     * @return the measurement
     */
    static WorkerUsage measure(Collection<WorkerTask> running, double factor, long nowMillis) {
        Map<String, long[]> tasks = new HashMap<>();
        Map<String, Long> services = new TreeMap<>();
        double noise = factor - 1;
        for (WorkerTask task : running) {
            tasks.put(
                    id(task.id(), task.attempt()),
                    new long[] {task.usedMilliCores(), task.usedMemoryMib()});
            if (task.isBatch() && task.isRunning()) {
                noise += task.noise() * factor;
            }
        }
        for (WorkerTask task : running) {
            if (!task.isBatch() && task.isRunning()) {
                services.put(task.workload(), Math.round(task.quietP99Millis() * (1 + noise)));
            }
        }
        return new WorkerUsage(nowMillis, tasks, services);
    }

    long milliCores(String task, long attempt) {
        return part(task, attempt, 0);
    }

    long memoryMib(String task, long attempt) {
        return part(task, attempt, 1);
    }

    private long part(String task, long attempt, int index) {
        long[] used = tasks.get(id(task, attempt));
        return used == null ? 0 : used[index];
    }

    private static String id(String task, long attempt) {
        return task + "#" + attempt;
    }
}
