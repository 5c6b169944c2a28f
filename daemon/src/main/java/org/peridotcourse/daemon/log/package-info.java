/** Numbered events, the log that writes them, and the ring that keeps decisions. */
package org.peridotcourse.daemon.log;
