package org.peridotcourse.placement;

/** Strategy for the choice of worker. */
public enum PlacementPolicy {
    /** The first worker in the order of names that fits by declared sizes; no guards. */
    FIRST_FIT(false),
    /** The worker with the least expected interference, then the tightest fit. */
    LEAST_INTERFERENCE(true);

    private final boolean guarded;

    PlacementPolicy(boolean guarded) {
        this.guarded = guarded;
    }

    /**
     * Tells whether estimates, interference guards, quarantine and the fair order are in use.
     *
     * @return false for the plain policy
     */
    public boolean isGuarded() {
        return guarded;
    }

    /**
     * Tells whether the search may end at a candidate.
     *
     * @return true if the first fitting worker is taken
     */
    boolean takesFirstFit() {
        return !guarded;
    }
}
