package org.peridotcourse.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * What the load client sends: weighted customers and kinds, arrivals of a Poisson process.
 *
 * <p>Seeded; used by one thread.
 */
final class LoadPlan {
    private final Random random;
    private final List<Weighted> customers;
    private final List<Weighted> kinds;
    private final double arrivalsPerSecond;
    private long count;

    LoadPlan(long seed, String customers, String kinds, double arrivalsPerSecond) {
        this.random = new Random(seed);
        this.customers = Weighted.parse(customers);
        this.kinds = Weighted.parse(kinds);
        this.arrivalsPerSecond = arrivalsPerSecond;
    }

    double nextGapSeconds() {
        return -Math.log(1 - random.nextDouble()) / arrivalsPerSecond;
    }

    Arrival next() {
        count++;
        String customer = Weighted.choose(customers, random);
        Kind kind = Kind.valueOf(Weighted.choose(kinds, random).toUpperCase(Locale.ROOT));
        return new Arrival(count, customer, kind);
    }

    /** The kinds of requests. */
    enum Kind {
        LOOKUP("GET", "idempotent", "/lookup"),
        PLAN("POST", "non-idempotent", "/plan"),
        WATCH("GET", "watch", "/watch");

        final String method;
        final String header;
        final String path;

        Kind(String method, String header, String path) {
            this.method = method;
            this.header = header;
            this.path = path;
        }
    }

    /**
     * One request to send.
     *
     * @param number its number, from 1
     * @param customer the customer
     * @param kind the kind
     */
    record Arrival(long number, String customer, Kind kind) {}

    /**
     * A name with its share.
     *
     * @param name the name
     * @param weight the share, relative to the other names
     */
    private record Weighted(String name, double weight) {
        static List<Weighted> parse(String text) {
            List<Weighted> found = new ArrayList<>();
            for (String part : text.split(",")) {
                String[] sides = part.split(":");
                found.add(
                        new Weighted(
                                sides[0], sides.length > 1 ? Double.parseDouble(sides[1]) : 1));
            }
            return found;
        }

        static String choose(List<Weighted> choices, Random random) {
            double left =
                    random.nextDouble() * choices.stream().mapToDouble(Weighted::weight).sum();
            for (Weighted choice : choices) {
                left -= choice.weight;
                if (left < 0) {
                    return choice.name;
                }
            }
            return choices.get(choices.size() - 1).name;
        }
    }
}
