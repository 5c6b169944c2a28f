/** The settings file of the daemon: declared keys, reader and typed faults. */
package org.peridotcourse.daemon.settings;
