package org.peridotcourse.membership;

import org.peridotcourse.BackendId;

/**
 * News about a backend server for another daemon. Instances are immutable and thread-safe.
 *
 * @param backend the backend server
 * @param leaving true if it is about to stop
 * @param ageMillis how long ago the sender learned it
 */
public record LeavingNotice(BackendId backend, boolean leaving, long ageMillis) {}
