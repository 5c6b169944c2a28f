/** Peers of a daemon, the platform's host list, and who reads and passes on the configuration. */
package org.peridotcourse.membership;
