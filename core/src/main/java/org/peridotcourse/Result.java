package org.peridotcourse;

import java.util.Optional;
import java.util.function.Function;

/**
 * The result of an operation: either a value or a typed failure.
 *
 * <p>Use {@code instanceof} patterns to distinguish the two. Instances are immutable and
 * thread-safe if the value is.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> permits Result.Ok, Result.Failed {
    /**
     * Returns a successful result.
     *
     * @param value the value, not null
     * @param <T> the type of the value
     * @return the result
     */
    static <T> Result<T> ok(T value) {
        return new Ok<>(value);
    }

    /**
     * Returns a failed result.
     *
     * @param failure the reason, not null
     * @param <T> the type of the missing value
     * @return the result
     */
    static <T> Result<T> failed(Failure failure) {
        return new Failed<>(failure);
    }

    /**
     * Returns whether there is a value.
     *
     * @return true if there is a value
     */
    default boolean isOk() {
        return this instanceof Ok;
    }

    /**
     * Returns the value.
     *
     * @return the value, or empty if the operation failed
     */
    Optional<T> toOptional();

    /**
     * Returns the reason for the failure.
     *
     * @return the reason, or empty if there is a value
     */
    Optional<Failure> failure();

    /**
     * Applies a function to the value if there is one.
     *
     * @param function the function
     * @param <R> the type of the new value
     * @return a result with the new value, or the same failure
     */
    <R> Result<R> map(Function<? super T, ? extends R> function);

    /**
     * A successful result.
     *
     * @param value the value
     * @param <T> the type of the value
     */
    record Ok<T>(T value) implements Result<T> {
        @Override
        public Optional<T> toOptional() {
            return Optional.of(value);
        }

        @Override
        public Optional<Failure> failure() {
            return Optional.empty();
        }

        @Override
        public <R> Result<R> map(Function<? super T, ? extends R> function) {
            return new Ok<>(function.apply(value));
        }
    }

    /**
     * A failed result.
     *
     * @param reason the reason
     * @param <T> the type of the missing value
     */
    record Failed<T>(Failure reason) implements Result<T> {
        @Override
        public Optional<T> toOptional() {
            return Optional.empty();
        }

        @Override
        public Optional<Failure> failure() {
            return Optional.of(reason);
        }

        @Override
        public <R> Result<R> map(Function<? super T, ? extends R> function) {
            return new Failed<>(reason);
        }
    }
}
