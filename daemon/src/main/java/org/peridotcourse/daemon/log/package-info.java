/** Numbered log events, the log that writes them, and the ring buffer of recent decisions. */
package org.peridotcourse.daemon.log;
