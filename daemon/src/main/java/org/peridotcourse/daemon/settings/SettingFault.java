package org.peridotcourse.daemon.settings;

/**
 * One thing that is wrong with a settings file.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param file the file
 * @param section the section, or {@code -} if the fault concerns the whole file
 * @param key the key, or {@code -} if the fault concerns the whole section
 * @param found what the file has
 * @param allowed what it may have
 */
public record SettingFault(String file, String section, String key, String found, String allowed) {
    /**
     * Returns the fault in one line.
     *
     * @return file, section, key, found and allowed values
     */
    public String toLine() {
        return file + ": [" + section + "] " + key + ": found " + found + "; allowed: " + allowed;
    }
}
