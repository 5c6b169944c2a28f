package org.peridotcourse.daemon.placement;

import org.peridotcourse.Resources;
import org.peridotcourse.placement.PlacementAction;

/** Work for the store thread. Implementations are immutable and thread-safe. */
sealed interface StoreWork {
    /**
     * A write or read that the placement owner requested.
     *
     * @param action a {@code WriteRows}, {@code ReadRows} or {@code ReadTasks}
     */
    record Perform(PlacementAction action) implements StoreWork {}

    /**
     * The free capacity to publish for the owners of other data centres.
     *
     * @param free the free capacity
     */
    record PublishCapacity(Resources free) implements StoreWork {}
}
