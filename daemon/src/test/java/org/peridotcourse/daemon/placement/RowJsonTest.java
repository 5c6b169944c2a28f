package org.peridotcourse.daemon.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.peridotcourse.daemon.platform.Row;

/**
 * Guards against a malformed row that the parser accepts and that then stops the load of all rows.
 */
class RowJsonTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "a/c/j/0 | {'state':'queued'} | true",
                "a/c/j/0 | {'state':'running','worker':'w'} | true",
                "a/c/j/0 | {'state':'running'} | false",
                "a/c/j/x | {'state':'queued'} | false",
                "a/c/j/-1 | {'state':'queued'} | false",
                "a/c/j | {'state':'queued'} | false",
                "a | {'state':'queued'} | false",
                "a/c/j/0 | {'state':'other'} | false",
                "a/c/j/0 | [] | false"
            },
            quoteCharacter = '"')
    void leavesOutMalformedTaskRows(String key, String text, boolean valid) throws IOException {
        var json = new ObjectMapper().readTree(text.replace('\'', '"'));
        Row row = new Row(key, 1, "x", Optional.of(json));
        assertEquals(valid, RowJson.task(row).isPresent());
    }
}
