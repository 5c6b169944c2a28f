package org.peridotcourse.bench;

import java.util.List;

/**
 * A straight line fitted to measured points. Instances are immutable.
 *
 * @param intercept value at size 0
 * @param slope increase for each unit of size
 */
record LinearFit(double intercept, double slope) {
    /**
     * A measured value.
     *
     * @param size the size of the deployment
     * @param value the value measured at this size
     */
    record Point(double size, double value) {}

    /**
     * Returns the line with the least sum of squared relative errors, so that small sizes have the
     * same weight as large ones.
     *
     * @param points at least two points of different sizes
     * @return the line
     */
    static LinearFit fit(List<Point> points) {
        double w = 0;
        double wx = 0;
        double wy = 0;
        double wxx = 0;
        double wxy = 0;
        for (Point point : points) {
            double weight = 1 / Math.max(1e-18, point.value() * point.value());
            w += weight;
            wx += weight * point.size();
            wy += weight * point.value();
            wxx += weight * point.size() * point.size();
            wxy += weight * point.size() * point.value();
        }
        double slope = (w * wxy - wx * wy) / (w * wxx - wx * wx);
        return new LinearFit((wy - slope * wx) / w, slope);
    }

    /**
     * Returns the value at a size.
     *
     * @param size the size
     * @return the value on the line
     */
    double valueAt(double size) {
        return intercept + slope * size;
    }
}
