package org.peridotcourse;

/**
 * Describes why an operation failed. Each area implements it by an enum or by records.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public interface Failure {
    /**
     * Returns the stable code of this failure, for programs.
     *
     * @return lower-case words joined by hyphens
     */
    String code();

    /**
     * Returns a sentence that explains this failure to a person.
     *
     * @return the sentence, without a final full stop
     */
    String message();
}
