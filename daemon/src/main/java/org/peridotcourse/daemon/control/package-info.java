/** Duties that keep leases, accept and spread the configuration, and know the other daemons. */
package org.peridotcourse.daemon.control;
