package org.peridotcourse.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.peridotcourse.Resources;

/**
 * What a worker says of itself in the list of workers.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id the id of the worker
 * @param service the service whose tasks it runs
 * @param address host and port
 * @param dataCentre the data centre
 * @param labels its kind and its rack, in this order
 * @param capacity what its tasks may use together
 * @param draining true once it takes no new tasks
 * @param drainMillis the least time until a draining worker leaves
 * @param bornMillis wall-clock start of this life, 0 if not told
 */
public record WorkerInfo(
        String id,
        String service,
        String address,
        String dataCentre,
        List<String> labels,
        Resources capacity,
        boolean draining,
        OptionalLong drainMillis,
        long bornMillis) {
    private static final int RACK_LABEL = 1;

    /**
     * Returns the rack.
     *
     * @return the label of the rack, empty if not told
     */
    public Optional<String> rack() {
        return labels.size() > RACK_LABEL ? Optional.of(labels.get(RACK_LABEL)) : Optional.empty();
    }
}
