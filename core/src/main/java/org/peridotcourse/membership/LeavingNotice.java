package org.peridotcourse.membership;

import org.peridotcourse.BackendId;

/**
 * A notice that a backend server is leaving, as daemons pass it to each other. Instances are
 * immutable and thread-safe.
 *
 * @param backend the backend server
 * @param leaving true if it is about to stop
 * @param ageMillis age in milliseconds of the latest information that it is leaving
 */
public record LeavingNotice(BackendId backend, boolean leaving, long ageMillis) {}
