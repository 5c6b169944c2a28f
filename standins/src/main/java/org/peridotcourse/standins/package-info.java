/**
 * Small stand-ins for the platform, workers and backend servers, and a load client, for trials on
 * one machine.
 */
package org.peridotcourse.standins;
