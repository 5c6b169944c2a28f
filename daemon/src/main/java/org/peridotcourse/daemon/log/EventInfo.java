package org.peridotcourse.daemon.log;

import java.lang.System.Logger.Level;

/**
 * What the catalogue says of an event.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param number the number, unique among all events and never reused
 * @param title area and past participle, joined by a dot
 * @param level the level at which records are written
 * @param description what the record says and which fields it has
 */
public record EventInfo(int number, String title, Level level, String description) {}
