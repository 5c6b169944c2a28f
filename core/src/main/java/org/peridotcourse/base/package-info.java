/**
 * Building blocks of the other packages: checks of identifiers, state charts and the rules of
 * leases.
 */
package org.peridotcourse.base;
