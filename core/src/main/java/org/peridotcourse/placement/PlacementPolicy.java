package org.peridotcourse.placement;

/** Policy for the choice of worker. */
public enum PlacementPolicy {
    /**
     * The first worker in the order of names that fits by declared sizes; no interference guards.
     */
    FIRST_FIT(false),
    /** The worker with the least expected interference, then the tightest fit. */
    LEAST_INTERFERENCE(true);

    private final boolean guarded;

    PlacementPolicy(boolean guarded) {
        this.guarded = guarded;
    }

    /**
     * Returns whether usage estimates, interference guards, quarantine and fair shares are in use.
     *
     * @return false for {@link #FIRST_FIT}
     */
    public boolean isGuarded() {
        return guarded;
    }

    /**
     * Returns whether the search for a worker ends at the first one that fits.
     *
     * @return true if the first fitting worker is taken
     */
    boolean takesFirstFit() {
        return !guarded;
    }
}
