/** The settings file of the daemon: schema of keys, reader and reported faults. */
package org.peridotcourse.daemon.settings;
