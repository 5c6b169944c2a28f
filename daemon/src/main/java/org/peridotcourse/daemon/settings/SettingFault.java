package org.peridotcourse.daemon.settings;

/**
 * One error in a settings file.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param file the file
 * @param section the section, or {@code -} if the fault concerns the whole file
 * @param key the key, or {@code -} if the fault concerns the whole section
 * @param found the value or condition found in the file
 * @param allowed the allowed values
 */
public record SettingFault(String file, String section, String key, String found, String allowed) {
    /**
     * Returns the fault as one line of text.
     *
     * @return file, section, key, found and allowed values
     */
    public String toLine() {
        return file + ": [" + section + "] " + key + ": found " + found + "; allowed: " + allowed;
    }
}
