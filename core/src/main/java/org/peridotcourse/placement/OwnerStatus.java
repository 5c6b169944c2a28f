package org.peridotcourse.placement;

/**
 * Status of a placement owner, for {@code /status} and metrics.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param epoch the epoch, 0 without a lease
 * @param loaded true once all rows have been read under this epoch
 * @param workers number of workers
 * @param usable number of workers that may receive starts
 * @param quarantined number of workers in quarantine
 * @param queued number of queued tasks
 * @param placed number of tasks that occupy a worker
 * @param evictions evictions since the owner was created
 * @param writes transactions and reads after conflicts since the owner was created, without retries
 * @param starts start commands since the owner was created
 */
public record OwnerStatus(
        long epoch,
        boolean loaded,
        int workers,
        int usable,
        int quarantined,
        int queued,
        int placed,
        long evictions,
        long writes,
        long starts) {}
