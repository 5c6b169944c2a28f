package org.peridotcourse.daemon.log;

import java.lang.System.Logger.Level;

/**
 * The catalogue entry of an event.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param number the number, unique among all events and never reused
 * @param title area and past participle, joined by a dot
 * @param level the level at which records are written
 * @param description the meaning of the record and its fields
 */
public record EventInfo(int number, String title, Level level, String description) {}
