/** The daemon process: start, wiring and stop. */
package org.peridotcourse.daemon;
