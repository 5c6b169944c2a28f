package org.peridotcourse.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls attributed to the wrong customer and against keys that leak into the text
 * form.
 */
class ApiKeysTest {
    private static final ApiKeys KEYS =
            ApiKeys.of(Map.of("norte", List.of("key-a", "key-b"), "sur", List.of("key-c")))
                    .toOptional()
                    .orElseThrow();

    @Test
    void aKeyBelongsToItsCustomer() {
        assertEquals(Optional.of("norte"), KEYS.customerOf("key-a"));
        assertEquals(Optional.of("norte"), KEYS.customerOf("key-b"));
        assertEquals(Optional.of("sur"), KEYS.customerOf("key-c"));
    }

    @Test
    void anInvalidKeyBelongsToNoCustomer() {
        for (String other : List.of("", "key", "key-a ", "KEY-A", "key-ab", "norte")) {
            assertEquals(Optional.empty(), KEYS.customerOf(other), other);
        }
    }

    /** Without keys, customers must not be served anonymously. */
    @Test
    void keysAreRequiredEvenIfNoCustomerHasOne() {
        ApiKeys none = ApiKeys.of(Map.of("norte", List.<String>of())).toOptional().orElseThrow();
        assertTrue(none.areRequired());
        assertFalse(ApiKeys.NOT_REQUIRED.areRequired());
    }

    @Test
    void aKeyOfTwoCustomersIsRejected() {
        assertEquals(
                Optional.of(ApiKeys.Fault.SHARED),
                ApiKeys.of(Map.of("norte", List.of("same"), "sur", List.of("same"))).failure());
        assertTrue(ApiKeys.of(Map.of("norte", List.of("same", "same"))).isOk());
    }

    @Test
    void anEmptyKeyIsRejected() {
        assertEquals(
                Optional.of(ApiKeys.Fault.EMPTY),
                ApiKeys.of(Map.of("norte", List.of(""))).failure());
    }

    @Test
    void toStringRevealsNoKey() {
        assertEquals("ApiKeys[3]", KEYS.toString());
    }
}
