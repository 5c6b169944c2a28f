package org.peridotcourse.testkit;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a filter that excludes tests that are not listed. */
class KnownRedFilterTest {
    private static final List<String> LINES =
            List.of("test: a.b.FirstTest#fails", "seen: a.b.SecondTest#works was fine");

    @Test
    void excludesExactlyTheListedMethod() {
        KnownRedFilter filter = new KnownRedFilter(KnownRed.parse(LINES));

        assertTrue(filter.evaluate("a.b.FirstTest", "fails").excluded());
        assertTrue(filter.evaluate("a.b.FirstTest", "failsToo").included());
        assertTrue(filter.evaluate("a.b.SecondTest", "works").included());
    }

    @Test
    void missingFileListsNothing() {
        assertFalse(KnownRed.read(Path.of("no-such-file.txt")).isListed("a.b.FirstTest", "fails"));
    }
}
