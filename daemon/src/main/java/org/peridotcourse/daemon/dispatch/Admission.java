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
    private final ConfigAge age;
    private final Function<IncomingCall, Optional<String>> apiKey;

    Admission(
            Supplier<ClusterConfig> config,
            ConfigAge age,
            Function<IncomingCall, Optional<String>> apiKey) {
        this.config = config;
        this.age = age;
        this.apiKey = apiKey;
    }

    /** What is decided on a call. */
    sealed interface Verdict permits Admitted, Rejected, Undecided {}

    /**
     * The call is carried out.
     *
     * @param route the route that it takes
     * @param customer the name of the customer whose key it carries, empty if it carries none
     */
    record Admitted(ClusterConfig.Route route, Optional<String> customer) implements Verdict {}

    /**
     * The call is not carried out.
     *
     * @param answer what the caller is told
     */
    record Rejected(JobAnswer answer) implements Verdict {}

    /** Only a host with a confirmed configuration can decide. */
    record Undecided() implements Verdict {}

    /**
     * Judges a call.
     *
     * @param call the call
     * @param now the present time
     */
    Verdict judge(IncomingCall call, long now) {
        ClusterConfig present = config.get();
        if (!present.isKnown()) {
            return refused(JobAnswer.Reason.NO_CONFIGURATION);
        }
        if (PeerLink.configVersion(call) > present.version()) {
            // The host that passed the call on may know of a withdrawal that is not known here.
            return refused(JobAnswer.Reason.OLDER_CONFIGURATION);
        }
        if (!age.wasConfirmed()) {
            return new Undecided();
        }
        String host = call.header("x-forwarded-host").or(() -> call.header("host")).orElse("");
        Optional<ClusterConfig.Route> route = present.match(host, call.path());
        if (route.isEmpty()) {
            return refusal(new JobAnswer.NoQueue(), now);
        }
        Optional<String> customer = apiKey.apply(call).flatMap(present.keys()::customerOf);
        boolean needsKey = present.keys().areRequired() && !route.get().anonymous();
        return needsKey && customer.isEmpty()
                ? refusal(new JobAnswer.Unauthorized(), now)
                : new Admitted(route.get(), customer);
    }

    private Verdict refusal(JobAnswer answer, long now) {
        return age.isRecent(now) ? new Rejected(answer) : new Undecided();
    }

    private static Verdict refused(JobAnswer.Reason reason) {
        return new Rejected(new JobAnswer.Refused(reason, RETRY_AFTER_MILLIS));
    }
}
