/**
 * Peers of a daemon, the platform's host list, and the choice of the daemons that read and
 * distribute the configuration.
 */
package org.peridotcourse.membership;
