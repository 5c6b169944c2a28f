package org.peridotcourse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.peridotcourse.base.InvalidIdException;

/**
 * Guards against request keys that the documentation allows and the entry host refuses, or the
 * reverse.
 */
class RequestKeyTest {
    @Test
    void acceptsExactlyTheDocumentedKeys() {
        for (String valid : new String[] {".", "_a", "-1", "Az0._-", "k".repeat(64)}) {
            assertEquals(valid, RequestKey.of(valid).value());
        }
        for (String invalid : new String[] {"", "a/b", "a b", "ä", "a\n", "k".repeat(65), null}) {
            assertThrows(InvalidIdException.class, () -> RequestKey.of(invalid), invalid);
        }
    }
}
