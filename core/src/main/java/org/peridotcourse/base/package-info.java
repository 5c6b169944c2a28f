/**
 * Skeletons that the other packages build on: identifier checks and the state chart interpreter.
 */
package org.peridotcourse.base;
