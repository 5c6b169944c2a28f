package org.peridotcourse.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * A row of the table service as returned by one read.
 *
 * <p>Instances are immutable; the JSON value must not be modified.
 *
 * @param key the key within the table
 * @param commit the commit that wrote the row last
 * @param writer the identifier of the transaction that wrote the row last
 * @param value the columns, or empty if the row was removed
 */
public record Row(String key, long commit, String writer, Optional<JsonNode> value) {}
