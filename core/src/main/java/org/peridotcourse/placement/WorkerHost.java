package org.peridotcourse.placement;

import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkerId;

/**
 * A worker in the platform's host list.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param id the worker
 * @param dataCentre its data centre
 * @param rack its rack
 * @param capacity its resources
 * @param leaving true if it takes no new tasks
 */
public record WorkerHost(
        WorkerId id, DataCentreId dataCentre, String rack, Resources capacity, boolean leaving) {}
