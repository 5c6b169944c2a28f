package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.DataCentreId;

/**
 * Accepts jobs, creates their task rows, refuses what can never run, and carries out cancellations.
 *
 * <p>Confined to one thread.
 */
final class JobIntake {
    /** Most task rows created by one change, so that a change fits into one transaction. */
    private static final int ROWS_PER_CREATION = 150;

    /** Time that the data centre of the next lower rank waits before it takes a job. */
    private static final long RANK_MILLIS = 2_000;

    /** Age at which a job with an unknown workload is refused; until then the row may come. */
    private static final long UNKNOWN_MILLIS = 10_000;

    private final Book book;
    private final WriteBuffer writes;
    private final Set<Job> attention = new LinkedHashSet<>();

    JobIntake(Book book, WriteBuffer writes) {
        this.book = book;
        this.writes = writes;
    }

    /** Notes a job whose row has changed or is new. */
    void note(Job job) {
        if (!job.replicas) {
            attention.add(job);
        }
    }

    /** Notes all jobs, after the rows were read anew. */
    void noteAll() {
        attention.clear();
        book.jobs.values().forEach(this::note);
    }

    /** Looks at all noted jobs. */
    void run(long nowMillis) {
        if (!book.isReady(nowMillis) || book.config.version() == 0 || book.hosts.isEmpty()) {
            return;
        }
        attention.removeIf(job -> !consider(nowMillis, job));
    }

    /** Returns true if the job needs attention again. */
    private boolean consider(long nowMillis, Job job) {
        if (job.busy || job.pending) {
            return true;
        }
        if (job.state().isFinal()) {
            if (job.tasks.isEmpty()) {
                book.jobs.remove(job.key, job);
            }
            return false;
        }
        if (job.row.cancel()) {
            cancel(job);
            return remaining(job) > 0 || !job.tasks.isEmpty();
        }
        if (job.state() == JobState.HELD) {
            return false;
        }
        release(job);
        if (remaining(job) > 0) {
            create(nowMillis, job);
            return true;
        }
        return false;
    }

    private static int remaining(Job job) {
        return job.row.spec().tasks() - job.row.progress().created();
    }

    private void create(long nowMillis, Job job) {
        Optional<DataCentreId> claim = job.row.progress().dataCentre();
        boolean mine = claim.isPresent() && claim.get().equals(book.dataCentre());
        boolean fresh = nowMillis - book.configConfirmedMillis <= OwnerSettings.CONFIG_AGE_MILLIS;
        if (!fresh) {
            return;
        }
        if (!book.config.isIn(book.dataCentre())) {
            if (mine && hasOther(job)) {
                Change change = Change.of(job);
                change.claim = Optional.empty();
                writes.add(change);
            }
            return;
        }
        if (!mine && !mayClaim(nowMillis, job, claim)) {
            return;
        }
        int from = job.row.progress().created();
        Change change =
                Change.creation(job, from, from + Math.min(remaining(job), ROWS_PER_CREATION));
        change.claim = Optional.of(book.dataCentre());
        change.jobState = JobState.ACCEPTED;
        if (claim.isPresent() && !mine) {
            change.peer = claim.get();
            change.peerCommit = book.peers.get(claim.get()).challenger.commit();
        }
        writes.add(change);
    }

    private boolean hasOther(Job job) {
        for (DataCentreId other : allowed(job)) {
            if (!other.equals(book.dataCentre())) {
                return true;
            }
        }
        return false;
    }

    private boolean mayClaim(long nowMillis, Job job, Optional<DataCentreId> claim) {
        if (claim.isPresent()) {
            Peer peer = book.peers.get(claim.get());
            return allowed(job).contains(book.dataCentre())
                    && peer != null
                    && peer.challenger.isHoldOver(nowMillis);
        }
        if (book.rule(job.workload()).isEmpty()) {
            if (nowMillis - job.firstSeenMillis >= UNKNOWN_MILLIS) {
                refuse(job, "its workload is unknown");
            }
            return false;
        }
        if (job.state() == JobState.SUBMITTED && !fitsSomewhere(job)) {
            refuse(job, "a task fits no worker that it may use");
            return false;
        }
        int rank = rank(job, allowed(job));
        return rank >= 0 && nowMillis - job.firstSeenMillis >= rank * RANK_MILLIS;
    }

    private void refuse(Job job, String reason) {
        if (job.state() != JobState.SUBMITTED) {
            return;
        }
        Change change = Change.of(job);
        change.jobState = JobState.REFUSED;
        change.reason = reason;
        writes.add(change);
        book.decide(job.key, "job-refused", null, reason);
    }

    /** Returns the data centres that are in, allowed, and have a worker large enough. */
    private List<DataCentreId> allowed(Job job) {
        List<DataCentreId> found = new ArrayList<>();
        book.config
                .dataCentres()
                .forEach(
                        (dataCentre, in) -> {
                            if (in && mayUse(job, dataCentre) && fits(job, dataCentre)) {
                                found.add(dataCentre);
                            }
                        });
        return found;
    }

    private boolean mayUse(Job job, DataCentreId dataCentre) {
        return book.rule(job.workload()).map(rule -> rule.allows(dataCentre)).orElse(false);
    }

    private boolean fitsSomewhere(Job job) {
        for (DataCentreId dataCentre : book.config.dataCentres().keySet()) {
            if (mayUse(job, dataCentre) && fits(job, dataCentre)) {
                return true;
            }
        }
        return false;
    }

    private boolean fits(Job job, DataCentreId dataCentre) {
        for (WorkerHost host : book.hosts) {
            if (host.dataCentre().equals(dataCentre) && job.size().isWithin(host.capacity())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the place of this data centre in an order that differs from job to job. */
    private int rank(Job job, Collection<DataCentreId> dataCentres) {
        if (!dataCentres.contains(book.dataCentre())) {
            return -1;
        }
        int own = hash(job, book.dataCentre());
        int rank = 0;
        for (DataCentreId other : dataCentres) {
            int theirs = hash(job, other);
            boolean before =
                    theirs < own
                            || (theirs == own
                                    && other.value().compareTo(book.dataCentre().value()) < 0);
            rank += before ? 1 : 0;
        }
        return rank;
    }

    private static int hash(Job job, DataCentreId dataCentre) {
        int mixed = (job.key + "@" + dataCentre.value()).hashCode() * 0x9E3779B9;
        return mixed ^ (mixed >>> 15);
    }

    /** Removes waiting tasks of a cancelled job; the worker reports lead to the stop of others. */
    private void cancel(Job job) {
        Optional<DataCentreId> claim = job.row.progress().dataCentre();
        boolean mine = claim.isEmpty() || claim.get().equals(book.dataCentre());
        if (remaining(job) > 0 && mine) {
            Change change = Change.of(job);
            change.cancelled = remaining(job);
            change.createFrom = job.row.spec().tasks();
            change.createTo = job.row.spec().tasks();
            writes.add(change);
        }
        for (Task task : List.copyOf(job.tasks.values())) {
            boolean waiting = task.state == TaskState.QUEUED || task.state == TaskState.HELD;
            if (waiting && !task.busy) {
                writes.add(Change.removal(task, 0, 1));
            }
        }
    }

    /** Queues the held task of a job that an operator has released. */
    private void release(Job job) {
        for (Task task : job.tasks.values()) {
            if (task.state == TaskState.HELD && !task.busy) {
                job.failedOn.clear();
                writes.add(Change.of(task, TaskChart.next(task.state, TaskEvent.RELEASED)));
            }
        }
    }
}
