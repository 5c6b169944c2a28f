package org.peridotcourse.testkit.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a parser that silently drops conditions, so that a step would always pass. */
class StepTest {
    @Test
    void keepsEveryConditionAndBlock() {
        List<Step> steps =
                Step.parse(
                        List.of(
                                "# comment",
                                "call GET http://a/b -d 'x y' => status 200 ; has 'a b'",
                                "file f <<",
                                " one",
                                ">>",
                                "say end"));

        assertEquals(3, steps.size());
        assertEquals(List.of("GET", "http://a/b", "-d", "x y"), steps.get(0).arguments());
        assertEquals(
                List.of(List.of("status", "200"), List.of("has", "a b")),
                steps.get(0).conditions());
        assertEquals(List.of(" one"), steps.get(1).block());
        assertEquals("say", steps.get(2).keyword());
    }
}
