package org.peridotcourse.dispatch;

/**
 * How long the advice service of a queue takes and how long its tickets last.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param decideMillis time of one call
 * @param perWorkerMillis further time for each worker named
 * @param validMillis how long a ticket is valid
 */
public record AdviceRules(long decideMillis, long perWorkerMillis, long validMillis) {}
