package org.peridotcourse.dispatch;

/**
 * The response time of a queue's advice service and the validity of the tickets that it issues.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param callMillis duration of one call, apart from the time for each worker named
 * @param perWorkerMillis additional duration for each worker that the call names
 * @param ticketValidityMillis time for which a ticket is valid
 */
public record AdviceRules(long callMillis, long perWorkerMillis, long ticketValidityMillis) {}
