package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.peridotcourse.Resources;
import org.peridotcourse.base.LeaseRow;

/** In-memory table service of the platform, with conditional transactions. */
final class FakeTable {
    /** A stored row. */
    record Stored(Object value, long commit, String writer) {}

    /** A lease row as stored. */
    record Lease(LeaseRow row, Resources free) {}

    private final Map<String, Stored> rows = new TreeMap<>();
    private final Set<SafetyMechanism> disabled;
    private final InvariantChecker checker;
    private long commit;

    FakeTable(Set<SafetyMechanism> disabled, InvariantChecker checker) {
        this.disabled = disabled;
        this.checker = checker;
    }

    long commit() {
        return commit;
    }

    Stored row(String table, String key) {
        return rows.get(table + "|" + key);
    }

    /** Returns the rows of a table whose keys begin with a prefix. */
    List<Stored> rows(String table, String prefix) {
        List<Stored> found = new ArrayList<>();
        for (Map.Entry<String, Stored> entry : rows.entrySet()) {
            if (entry.getKey().startsWith(table + "|" + prefix)) {
                found.add(entry.getValue());
            }
        }
        return found;
    }

    List<TaskRow> tasks(String prefix) {
        List<TaskRow> found = new ArrayList<>();
        rows("tasks", prefix)
                .forEach(row -> found.add(((TaskRow) row.value()).withCommit(row.commit())));
        return found;
    }

    List<JobRow> jobs() {
        List<JobRow> found = new ArrayList<>();
        rows("jobs", "").forEach(row -> found.add(job(row)));
        return found;
    }

    static JobRow job(Stored row) {
        return ((JobRow) row.value()).withCommit(row.commit());
    }

    /** Applies a transaction and returns its commit, or 0 if a checked row has another commit. */
    long write(PlacementAction.WriteRows write) {
        for (PlacementAction.RowCheck check : write.checks()) {
            Stored stored = row(check.table(), check.key());
            boolean skipped =
                    check.table().equals("leases")
                            ? disabled.contains(SafetyMechanism.LEASE_CHECK)
                            : disabled.contains(SafetyMechanism.ROW_CHECK);
            if (!skipped && (stored == null ? 0 : stored.commit()) != check.commit()) {
                return commitOfEarlierCopy(write);
            }
        }
        commit++;
        if (checker != null) {
            checker.checkWrite(this, write);
        }
        write.taskPuts().forEach(row -> put("tasks", row.key(), row, write.id()));
        write.jobPuts().forEach(row -> put("jobs", row.spec().id().value(), row, write.id()));
        write.taskDeletes().forEach(key -> rows.remove("tasks|" + key));
        return commit;
    }

    /**
     * Returns the commit of an earlier copy of a write if a row still names it as its writer,
     * otherwise 0.
     */
    private long commitOfEarlierCopy(PlacementAction.WriteRows write) {
        Map<String, Stored> found = new HashMap<>();
        write.taskPuts().forEach(row -> found.put(row.key(), row("tasks", row.key())));
        write.jobPuts().forEach(row -> found.put("", row("jobs", row.spec().id().value())));
        for (Stored stored : found.values()) {
            if (stored != null && stored.writer().equals(write.id())) {
                return stored.commit();
            }
        }
        return 0;
    }

    /** Writes a lease row if it still has the expected commit. */
    long writeLease(String key, long expected, Lease lease, String id) {
        Stored stored = row("leases", key);
        if ((stored == null ? 0 : stored.commit()) != expected) {
            return stored != null && stored.writer().equals(id) ? stored.commit() : 0;
        }
        commit++;
        put("leases", key, lease, id);
        return commit;
    }

    /** Writes a job row as an entry host does. */
    void putJob(JobRow row) {
        commit++;
        put("jobs", row.spec().id().value(), row, "entry");
    }

    private void put(String table, String key, Object value, String writer) {
        rows.put(table + "|" + key, new Stored(value, commit, writer));
    }
}
