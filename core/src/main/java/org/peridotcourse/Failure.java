package org.peridotcourse;

/**
 * The reason for which an operation failed. Each package implements it by an enum or by records.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public interface Failure {
    /**
     * Returns the stable code of this failure, which programs can match.
     *
     * @return lower-case words joined by hyphens
     */
    String code();

    /**
     * Returns a message that explains this failure to people.
     *
     * @return one sentence without a final full stop
     */
    String message();
}
