package org.peridotcourse.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the fit of a line to measured points. */
class LinearFitTest {
    /** Guards against a wrong formula, which would change all figures at the two-year size. */
    @Test
    void fitsPointsOnLineExactly() {
        LinearFit fit =
                LinearFit.fit(
                        List.of(
                                new LinearFit.Point(10, 25),
                                new LinearFit.Point(100, 205),
                                new LinearFit.Point(1000, 2005)));
        assertEquals(2, fit.slope(), 1e-9);
        assertEquals(5, fit.intercept(), 1e-6);
        assertEquals(3605, fit.valueAt(1800), 1e-6);
    }
}
