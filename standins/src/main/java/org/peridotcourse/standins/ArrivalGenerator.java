package org.peridotcourse.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * Generates the requests of the load client: a Poisson arrival process whose customers and kinds
 * are chosen by weight.
 *
 * <p>The sequence depends only on the seed. Not thread-safe.
 */
final class ArrivalGenerator {
    private final Random random;
    private final List<WeightedName> customers;
    private final List<WeightedName> kinds;
    private final double arrivalsPerSecond;
    private long count;

    ArrivalGenerator(long seed, String customers, String kinds, double arrivalsPerSecond) {
        this.random = new Random(seed);
        this.customers = WeightedName.parse(customers);
        this.kinds = WeightedName.parse(kinds);
        this.arrivalsPerSecond = arrivalsPerSecond;
    }

    double nextInterarrivalSeconds() {
        return -Math.log(1 - random.nextDouble()) / arrivalsPerSecond;
    }

    Arrival next() {
        count++;
        String customer = WeightedName.choose(customers, random);
        Kind kind = Kind.valueOf(WeightedName.choose(kinds, random).toUpperCase(Locale.ROOT));
        return new Arrival(count, customer, kind);
    }

    /** The kinds of requests, with their method, {@code Peridot-Kind} header and path. */
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
     * A request to send.
     *
     * @param number the sequence number, starting at 1
     * @param customer the customer
     * @param kind the kind of the request
     */
    record Arrival(long number, String customer, Kind kind) {}

    /**
     * A name with its weight.
     *
     * @param name the name
     * @param weight the weight, relative to the other names
     */
    private record WeightedName(String name, double weight) {
        static List<WeightedName> parse(String text) {
            List<WeightedName> names = new ArrayList<>();
            for (String part : text.split(",")) {
                String[] nameAndWeight = part.split(":");
                names.add(
                        new WeightedName(
                                nameAndWeight[0],
                                nameAndWeight.length > 1
                                        ? Double.parseDouble(nameAndWeight[1])
                                        : 1));
            }
            return names;
        }

        static String choose(List<WeightedName> choices, Random random) {
            double remaining =
                    random.nextDouble() * choices.stream().mapToDouble(WeightedName::weight).sum();
            for (WeightedName choice : choices) {
                remaining -= choice.weight;
                if (remaining < 0) {
                    return choice.name;
                }
            }
            return choices.get(choices.size() - 1).name;
        }
    }
}
