package org.peridotcourse.daemon.settings;

/** Generates docs/SETTINGS.md from the schema. It holds no state and is thread-safe. */
public final class SettingsPage {
    private SettingsPage() {}

    /**
     * Returns the page.
     *
     * @return the content of docs/SETTINGS.md
     */
    public static String text() {
        StringBuilder page = new StringBuilder();
        page.append("# Settings\n\n");
        page.append("The daemon reads one INI file: `bin/peridotd SETTINGS.ini`. ");
        page.append("`config/peridotd.example.ini` is an example. All\n");
        page.append("faults of a file are reported at once with file, section, key, the value ");
        page.append("found and the allowed values; the\nexit code is then 2. ");
        page.append("The tables are made from the schema by `SettingsPage`; a test compares ");
        page.append("both.\n");
        String section = "";
        for (SettingKey key : SettingKey.values()) {
            if (!key.section().equals(section)) {
                section = key.section();
                page.append("\n## [").append(section).append("]\n\n");
                page.append("| key | allowed | default | meaning |\n|---|---|---|---|\n");
            }
            String defaultValue =
                    key.defaultText()
                            .map(text -> text.isEmpty() ? "none" : "`" + text + "`")
                            .orElse("required");
            page.append("| `").append(key.key());
            page.append("` | ").append(key.allowed());
            page.append(" | ").append(defaultValue);
            page.append(" | ").append(key.description()).append(" |\n");
        }
        return page.toString();
    }
}
