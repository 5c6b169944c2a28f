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
 * <p>The version is the commit of the latest accepted row; every change of accepted rows rewrites
 * the row {@link RowCodec#VERSION_KEY}, so removals count too. Confined to one thread.
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

    /** Reads once and returns true if the version in force is confirmed. */
    boolean refresh(long sentMillis) {
        long present = config.snapshot().version();
        Result<RowPage> read = TableReader.readChanges(store, RowCodec.ACCEPTED_TABLE, present);
        if (!(read instanceof Result.Ok<RowPage> ok)) {
            return false;
        }
        List<Row> rows = ok.value().rows();
        if (ok.value().commit() < present) {
            logRefusal(ok.value().commit(), present, "the table service is behind");
            return false;
        }
        if (!rows.isEmpty() && !install(present, rows)) {
            return false;
        }
        long version = rows.stream().mapToLong(Row::commit).max().orElse(present);
        config.confirm(version, sentMillis, 0);
        return version > 0;
    }

    private boolean install(long present, List<Row> rows) {
        long version = rows.stream().mapToLong(Row::commit).max().orElse(present);
        List<ConfigEntry> entries = new ArrayList<>();
        for (Row row : rows) {
            Optional<RowKey> key = RowKey.parse(row.key());
            if (key.isPresent()) {
                Optional<ConfigEntry> entry =
                        RowCodec.toConfigEntry(
                                key.get(), row.commit(), row.value().map(JsonNode::toString));
                if (entry.isEmpty()) {
                    logRefusal(version, present, "malformed accepted row " + row.key());
                    return false;
                }
                entries.add(entry.get());
            }
        }
        if (config.install(new ConfigChange(present, version, List.copyOf(entries)))) {
            log.event(ConfigEvent.VERSION_INSTALLED)
                    .with("version", version)
                    .with("before", present)
                    .with("rows", entries.size())
                    .with("from", "store")
                    .write();
        }
        return true;
    }

    private void logRefusal(long version, long present, String reason) {
        log.event(ConfigEvent.VERSION_REFUSED)
                .with("version", version)
                .with("present", present)
                .with("from", "store")
                .with("reason", reason)
                .write();
    }
}
