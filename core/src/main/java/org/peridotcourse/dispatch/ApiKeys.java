package org.peridotcourse.dispatch;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Failure;
import org.peridotcourse.Result;

/**
 * The API keys of all customers in one version of the configuration, stored as SHA-256 digests.
 *
 * <p>Instances are immutable and thread-safe. {@link #toString} reveals no key and no digest.
 */
public final class ApiKeys {
    /** Calls need no key, because the configuration has no section on customers. */
    public static final ApiKeys NOT_REQUIRED = new ApiKeys(false, List.of());

    private static final String DIGEST = "SHA-256";

    private final boolean required;
    private final List<Entry> entries;

    private ApiKeys(boolean required, List<Entry> entries) {
        this.required = required;
        this.entries = List.copyOf(entries);
    }

    /** The digest of a valid key and the customer that the key belongs to. */
    private record Entry(byte[] digest, String customer) {}

    /** The reasons to reject a set of keys. Constants are immutable and thread-safe. */
    public enum Fault implements Failure {
        /** Two customers have the same key, so a call with it could not be attributed. */
        SHARED("two customers have the same API key"),
        /** A key is empty; no call can carry it. */
        EMPTY("an API key is empty");

        private final String message;

        Fault(String message) {
            this.message = message;
        }

        @Override
        public String code() {
            return "api-key-" + name().toLowerCase(Locale.ROOT);
        }

        @Override
        public String message() {
            return message;
        }
    }

    /**
     * Returns the given keys. Every call then needs one of them, even if the map contains no key.
     *
     * @param keysByCustomer the keys in plain text, as callers send them, by customer name
     * @return the keys, or the {@link Fault} for which they are rejected
     */
    public static Result<ApiKeys> of(Map<String, ? extends Iterable<String>> keysByCustomer) {
        List<Entry> entries = new ArrayList<>();
        for (Map.Entry<String, ? extends Iterable<String>> customerKeys :
                keysByCustomer.entrySet()) {
            for (String key : customerKeys.getValue()) {
                byte[] digest = digest(key);
                Optional<String> owner = find(entries, digest);
                if (key.isEmpty()) {
                    return Result.failed(Fault.EMPTY);
                } else if (owner.isEmpty()) {
                    entries.add(new Entry(digest, customerKeys.getKey()));
                } else if (!owner.get().equals(customerKeys.getKey())) {
                    return Result.failed(Fault.SHARED);
                }
            }
        }
        return Result.ok(new ApiKeys(true, entries));
    }

    /**
     * Returns whether calls need a key.
     *
     * @return false only for {@link #NOT_REQUIRED}
     */
    public boolean areRequired() {
        return required;
    }

    /**
     * Returns the customer that a key belongs to.
     *
     * @param key the key as a caller sent it
     * @return the name of the customer, or empty if the key is not valid
     */
    public Optional<String> customerOf(String key) {
        return find(entries, digest(key));
    }

    /**
     * Compares the digest with every entry, so that the response time reveals nothing about the
     * valid keys.
     */
    private static Optional<String> find(List<Entry> entries, byte[] digest) {
        Optional<String> found = Optional.empty();
        for (Entry entry : entries) {
            if (MessageDigest.isEqual(entry.digest(), digest)) {
                found = Optional.of(entry.customer());
            }
        }
        return found;
    }

    private static byte[] digest(String key) {
        try {
            return MessageDigest.getInstance(DIGEST).digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException impossible) {
            throw new AssertionError("every Java platform must support " + DIGEST, impossible);
        }
    }

    @Override
    public String toString() {
        return "ApiKeys[" + entries.size() + "]";
    }
}
