/**
 * Leases, validation and distribution of the configuration, and the membership of daemons and
 * hosts.
 */
package org.peridotcourse.daemon.control;
