/** Bounded rings between threads. */
package org.peridotcourse.daemon.ring;
