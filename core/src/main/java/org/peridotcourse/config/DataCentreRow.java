package org.peridotcourse.config;

import org.peridotcourse.DataCentreId;

/**
 * A row of the table {@code datacentres}. Instances are immutable and thread-safe.
 *
 * @param id the data centre
 * @param region the region of the data centre
 * @param isInUse false if operators have taken the data centre out of use
 */
public record DataCentreRow(DataCentreId id, String region, boolean isInUse) implements TypedRow {
    @Override
    public RowKey rowKey() {
        return new RowKey(ConfigTable.DATA_CENTRES, id.value());
    }

    static DataCentreRow of(String key, RowValues values) {
        return new DataCentreRow(
                DataCentreId.of(key), values.text("region"), values.text("state").equals("in"));
    }
}
