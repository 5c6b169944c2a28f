package org.peridotcourse.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.peridotcourse.Resources;

/**
 * The entry of a worker in the worker list, as published by the worker.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id the id of the worker
 * @param service the service whose tasks it runs
 * @param address host and port
 * @param dataCentre the data centre
 * @param labels its kind and its rack, in this order
 * @param capacity the resources that its tasks may reserve in total
 * @param draining true once it accepts no new tasks
 * @param drainRemainingMillis the shortest time until a draining worker leaves, empty if not given
 * @param startedAtMillis wall-clock time at which the worker's process started, which identifies
 *     its incarnation; 0 if not given
 */
public record WorkerInfo(
        String id,
        String service,
        String address,
        String dataCentre,
        List<String> labels,
        Resources capacity,
        boolean draining,
        OptionalLong drainRemainingMillis,
        long startedAtMillis) {
    private static final int RACK_LABEL = 1;

    /**
     * Returns the rack.
     *
     * @return the label of the rack, empty if there is none
     */
    public Optional<String> rack() {
        return labels.size() > RACK_LABEL ? Optional.of(labels.get(RACK_LABEL)) : Optional.empty();
    }
}
