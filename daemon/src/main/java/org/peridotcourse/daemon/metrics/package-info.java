/** Counters, gauges and latency quantiles in Prometheus text format. */
package org.peridotcourse.daemon.metrics;
