package org.peridotcourse.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the line through measured points. */
class LineTest {
    /** Guards against a wrong formula, which would shift every figure at the two-year size. */
    @Test
    void passesThroughPointsOnALine() {
        Line line =
                Line.through(
                        List.of(
                                new Line.Point(10, 25),
                                new Line.Point(100, 205),
                                new Line.Point(1000, 2005)));
        assertEquals(2, line.slope(), 1e-9);
        assertEquals(5, line.base(), 1e-6);
        assertEquals(3605, line.at(1800), 1e-6);
    }
}
