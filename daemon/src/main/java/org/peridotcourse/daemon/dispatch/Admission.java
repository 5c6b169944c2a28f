package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.peridotcourse.daemon.entry.IncomingCall;
import org.peridotcourse.dispatch.ClusterConfig;

/**
 * Decides by the present configuration whether a call is carried out: finds its queue and checks
 * its API key. Confined to the loop.
 *
 * <p>A refusal is final only if the configuration was confirmed a short time ago, since a newer one
 * may have the route or the key. A configuration that was never confirmed in this process permits
 * nothing either: it may come from a host that has missed the withdrawal of a key.
 */
final class Admission {
    private static final long RETRY_AFTER_MILLIS = 500;

    private final Supplier<ClusterConfig> config;
    private final ConfigAge configAge;
    private final Function<IncomingCall, Optional<String>> apiKey;

    Admission(
            Supplier<ClusterConfig> config,
            ConfigAge age,
            Function<IncomingCall, Optional<String>> apiKey) {
        this.config = config;
        this.configAge = age;
        this.apiKey = apiKey;
    }

    /** What is decided on a call. */
    sealed interface Decision permits Admitted, Rejected, Undecided {}

    /**
     * The call is carried out.
     *
     * @param route the route that it takes
     * @param customer the name of the customer whose key it carries, empty if it carries none
     */
    record Admitted(ClusterConfig.Route route, Optional<String> customer) implements Decision {}

    /**
     * The call is not carried out.
     *
     * @param answer what the caller is told
     */
    record Rejected(JobAnswer answer) implements Decision {}

    /** Only a host with a confirmed configuration can decide. */
    record Undecided() implements Decision {}

    /**
     * Judges a call.
     *
     * @param call the call
     * @param now the present time
     */
    Decision decide(IncomingCall call, long now) {
        ClusterConfig present = config.get();
        if (!present.isKnown()) {
            return reject(JobAnswer.Reason.NO_CONFIGURATION);
        }
        if (PeerHostClient.configVersion(call) > present.version()) {
            // The host that passed the call on may know of a withdrawal that is not known here.
            return reject(JobAnswer.Reason.OLDER_CONFIGURATION);
        }
        if (!configAge.isEverConfirmed()) {
            return new Undecided();
        }
        String host = call.header("x-forwarded-host").or(() -> call.header("host")).orElse("");
        Optional<ClusterConfig.Route> route = present.match(host, call.path());
        if (route.isEmpty()) {
            return rejectIfRecent(new JobAnswer.NoQueue(), now);
        }
        Optional<String> customer = apiKey.apply(call).flatMap(present.keys()::customerOf);
        boolean needsKey = present.keys().areRequired() && !route.get().anonymous();
        return needsKey && customer.isEmpty()
                ? rejectIfRecent(new JobAnswer.Unauthorized(), now)
                : new Admitted(route.get(), customer);
    }

    private Decision rejectIfRecent(JobAnswer answer, long now) {
        return configAge.isRecent(now) ? new Rejected(answer) : new Undecided();
    }

    private static Decision reject(JobAnswer.Reason reason) {
        return new Rejected(new JobAnswer.Refused(reason, RETRY_AFTER_MILLIS));
    }
}
