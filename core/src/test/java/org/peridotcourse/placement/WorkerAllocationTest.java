package org.peridotcourse.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.peridotcourse.Resources;

/**
 * Guards against declared sizes or estimates that exceed the capacity after any series of charges,
 * releases and adjustments.
 */
class WorkerAllocationTest {
    private static final Resources CAPACITY = new Resources(4_000, 8_000, 2);

    @Property(tries = 1_000, seed = "20260101")
    void staysWithinTheCapacity(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 99_999) Integer> steps) {
        WorkerAllocation allocation = new WorkerAllocation(CAPACITY);
        List<Resources> sizes = new ArrayList<>();
        List<UsageEstimate> estimates = new ArrayList<>();
        for (int step : steps) {
            Resources size = new Resources(step % 2_500, step % 3_001, step % 2);
            UsageEstimate estimate = new UsageEstimate(step % 3_100, size.memoryMib() + step % 700);
            if (step % 3 == 0 && !sizes.isEmpty()) {
                allocation.release(sizes.remove(0), estimates.remove(0));
            } else if (step % 3 == 1 && !sizes.isEmpty()) {
                estimates.set(0, allocation.adjust(estimates.get(0), estimate));
            } else if (allocation.fits(size, estimate)) {
                allocation.charge(size, estimate);
                sizes.add(size);
                estimates.add(estimate);
            }
            assertTrue(allocation.isWithinCapacity(), "after " + step);
        }
        while (!sizes.isEmpty()) {
            allocation.release(sizes.remove(0), estimates.remove(0));
        }
        assertEquals(CAPACITY, allocation.free());
    }
}
