/**
 * Values shared by every part of the scheduler: names of workers, data centres, customers and
 * backend servers, and amounts of resources.
 */
package org.peridotcourse;
