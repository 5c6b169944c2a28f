package org.peridotcourse.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.Result;
import org.peridotcourse.config.ConfigChange;
import org.peridotcourse.config.ConfigEntry;
import org.peridotcourse.config.RowKey;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;
import org.peridotcourse.daemon.platform.TableStore;

/**
 * Reads accepted rows from the table service and installs them.
 *
 * <p>The configuration version is the highest commit in the table of accepted rows. Every change of
 * accepted rows also rewrites the row {@link RowCodec#VERSION_KEY}, so a removal leads to a new
 * version too. Confined to one thread.
 */
final class ConfigReader {
    private final TableStore store;
    private final SnapshotHolder config;
    private final EventLog log;

    ConfigReader(TableStore store, SnapshotHolder config, EventLog log) {
        this.store = store;
        this.config = config;
        this.log = log;
    }

    /**
     * Reads and installs the changes since the version in force.
     *
     * @param sentMillis the time just before the read, from which the age of the configuration
     *     counts
     * @return true if the table service confirmed the version that is now in force
     */
    boolean refresh(long sentMillis) {
        long currentVersion = config.snapshot().version();
        Result<RowPage> read =
                TableReader.readChanges(store, RowCodec.ACCEPTED_TABLE, currentVersion);
        if (!(read instanceof Result.Ok<RowPage> ok)) {
            return false;
        }
        List<Row> rows = ok.value().rows();
        if (ok.value().commit() < currentVersion) {
            logRefusal(
                    ok.value().commit(),
                    currentVersion,
                    "the table service returned an older version");
            return false;
        }
        if (!rows.isEmpty() && !install(currentVersion, rows)) {
            return false;
        }
        long version = rows.stream().mapToLong(Row::commit).max().orElse(currentVersion);
        config.confirm(version, sentMillis, 0);
        return version > 0;
    }

    private boolean install(long currentVersion, List<Row> rows) {
        long version = rows.stream().mapToLong(Row::commit).max().orElse(currentVersion);
        List<ConfigEntry> entries = new ArrayList<>();
        for (Row row : rows) {
            Optional<RowKey> key = RowKey.parse(row.key());
            if (key.isPresent()) {
                Optional<ConfigEntry> entry =
                        RowCodec.toConfigEntry(
                                key.get(), row.commit(), row.value().map(JsonNode::toString));
                if (entry.isEmpty()) {
                    logRefusal(version, currentVersion, "malformed accepted row " + row.key());
                    return false;
                }
                entries.add(entry.get());
            }
        }
        if (config.install(new ConfigChange(currentVersion, version, List.copyOf(entries)))) {
            log.event(ConfigEvent.VERSION_INSTALLED)
                    .with("version", version)
                    .with("before", currentVersion)
                    .with("rows", entries.size())
                    .with("from", "store")
                    .write();
        }
        return true;
    }

    private void logRefusal(long version, long currentVersion, String reason) {
        log.event(ConfigEvent.VERSION_REFUSED)
                .with("version", version)
                .with("present", currentVersion)
                .with("from", "store")
                .with("reason", reason)
                .write();
    }
}
