package org.peridotcourse.daemon.dispatch;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.peridotcourse.daemon.entry.IncomingCall;
import org.peridotcourse.dispatch.ClusterConfig;

/**
 * Admits or rejects calls by the current configuration: finds the queue of a call and checks its
 * API key. Confined to the event loop.
 *
 * <p>A rejection is final only if the configuration was confirmed recently, since a newer version
 * may contain the route or the key. A configuration that was never confirmed in this process admits
 * no call, since the configuration may come from a host that has missed the revocation of a key.
 */
final class Admission {
    private static final long RETRY_AFTER_MILLIS = 500;

    private final Supplier<ClusterConfig> config;
    private final ConfigAge configAge;
    private final Function<IncomingCall, Optional<String>> apiKey;

    Admission(
            Supplier<ClusterConfig> config,
            ConfigAge configAge,
            Function<IncomingCall, Optional<String>> apiKey) {
        this.config = config;
        this.configAge = configAge;
        this.apiKey = apiKey;
    }

    /** The result of the admission check of a call. */
    sealed interface Decision permits Admitted, Rejected, Undecided {}

    /**
     * The call is admitted.
     *
     * @param route the route that matches the call
     * @param customer the name of the customer whose key the call carries, empty if it carries no
     *     valid key
     */
    record Admitted(ClusterConfig.Route route, Optional<String> customer) implements Decision {}

    /**
     * The call is rejected.
     *
     * @param answer the answer to the caller
     */
    record Rejected(JobAnswer answer) implements Decision {}

    /** This host cannot decide; the call needs a host with a recently confirmed configuration. */
    record Undecided() implements Decision {}

    /**
     * Decides whether a call is admitted.
     *
     * @param call the call
     * @param now the current time of the event loop in milliseconds
     */
    Decision decide(IncomingCall call, long now) {
        ClusterConfig current = config.get();
        if (!current.isLoaded()) {
            return reject(JobAnswer.Reason.NO_CONFIGURATION);
        }
        if (PeerHostClient.configVersion(call) > current.version()) {
            // The host that forwarded the call may have a newer version in which the key is
            // revoked.
            return reject(JobAnswer.Reason.OLDER_CONFIGURATION);
        }
        if (!configAge.isEverConfirmed()) {
            return new Undecided();
        }
        String host = call.header("x-forwarded-host").or(() -> call.header("host")).orElse("");
        Optional<ClusterConfig.Route> route = current.findRoute(host, call.path());
        if (route.isEmpty()) {
            return rejectIfRecent(new JobAnswer.NoQueue(), now);
        }
        Optional<String> customer = apiKey.apply(call).flatMap(current.apiKeys()::customerOf);
        boolean keyRequired = current.apiKeys().areRequired() && !route.get().anonymous();
        return keyRequired && customer.isEmpty()
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
