/** The daemon process: startup, wiring and shutdown. */
package org.peridotcourse.daemon;
