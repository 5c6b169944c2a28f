package org.peridotcourse.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.peridotcourse.BackendId;
import org.peridotcourse.base.StringId;
import org.peridotcourse.config.ConfigChange;
import org.peridotcourse.config.ConfigEntry;
import org.peridotcourse.config.ConfigTable;
import org.peridotcourse.config.RowKey;
import org.peridotcourse.membership.LeavingNotice;
import org.peridotcourse.wire.BackendNote;
import org.peridotcourse.wire.ConfigDelta;
import org.peridotcourse.wire.ConfigRow;

/** Converts between wire messages and domain objects. It is stateless and thread-safe. */
final class WireCodec {
    /** A larger change is not sent; the receiver reads the table service instead. */
    private static final int MAX_DELTA_CHARS = 1 << 20;

    private WireCodec() {}

    static Optional<ConfigDelta> toWire(ConfigChange change) {
        List<ConfigRow> rows = new ArrayList<>();
        long size = 0;
        for (ConfigEntry entry : change.entries()) {
            ConfigRow row = new ConfigRow(entry.key().table().tableName(), entry.key().key());
            if (!entry.isRemoved()) {
                row.setValue(entry.text());
            }
            size += entry.text().length();
            rows.add(row);
        }
        return size > MAX_DELTA_CHARS
                ? Optional.empty()
                : Optional.of(new ConfigDelta(change.fromVersion(), change.toVersion(), rows));
    }

    /** Returns the change, or empty if any part of it is malformed. */
    static Optional<ConfigChange> fromWire(ConfigDelta delta) {
        boolean validVersions = delta.getFromVersion() >= 0 && delta.getToVersion() > 0;
        if (!validVersions || delta.getRows() == null) {
            return Optional.empty();
        }
        List<ConfigEntry> entries = new ArrayList<>();
        for (ConfigRow row : delta.getRows()) {
            Optional<ConfigTable> table =
                    Optional.ofNullable(row.getTable()).flatMap(ConfigTable::parse);
            if (table.isEmpty() || row.getKey() == null) {
                return Optional.empty();
            }
            Optional<ConfigEntry> entry =
                    RowCodec.toConfigEntry(
                            new RowKey(table.get(), row.getKey()),
                            delta.getToVersion(),
                            Optional.ofNullable(row.getValue()));
            if (entry.isEmpty()) {
                return Optional.empty();
            }
            entries.add(entry.get());
        }
        return Optional.of(
                new ConfigChange(
                        delta.getFromVersion(), delta.getToVersion(), List.copyOf(entries)));
    }

    static List<BackendNote> toWire(List<LeavingNotice> notices) {
        List<BackendNote> wire = new ArrayList<>();
        for (LeavingNotice notice : notices) {
            wire.add(
                    new BackendNote(
                            notice.backend().value(), notice.leaving(), notice.ageMillis()));
        }
        return wire;
    }

    /** Converts notices, leaving out those without a valid backend server identifier. */
    static List<LeavingNotice> fromWire(List<BackendNote> notes) {
        List<LeavingNotice> notices = new ArrayList<>();
        for (BackendNote note : notes == null ? List.<BackendNote>of() : notes) {
            if (StringId.isValid(note.getBackend())) {
                notices.add(
                        new LeavingNotice(
                                BackendId.of(note.getBackend()),
                                note.isLeaving(),
                                note.getAgeMillis()));
            }
        }
        return notices;
    }
}
