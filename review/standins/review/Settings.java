package review;

import java.util.List;

/** The configuration of a sidecar in a small deployment, with the figures of the example of the wire page. */
final class Settings {
    /** A class of transactions. */
    record Profile(String name, String effect, int serviceGoal, int hardLimit, int revenue) {
        String json() {
            return String.format(
                    "{\"name\":\"%s\",\"effect\":\"%s\",\"service_goal\":%d,\"hard_limit\":%d,\"revenue\":%d}",
                    name, effect, serviceGoal, hardLimit, revenue);
        }
    }

    /** The two profiles of the example. */
    static final Profile QUOTE = new Profile("quote", "repeatable", 500, 1_500, 2);

    static final Profile POST_CHARGE = new Profile("post-charge", "once", 600, 3_000, 10);

    private Settings() {}

    /** Returns the JSON text of the configuration file. */
    static String configuration(
            int listen, int discovery, int sockets, String known, int drainGrace, List<Profile> profiles) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery + "\","
                + "\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
                + "\"known\":" + known + ",\"settings\":{"
                + "\"azs\":[\"pavas\"],\"flavors\":[\"mid-6\"],\"membership_mode\":\"on_request\",\"n_instances\":1,"
                + "\"my_number\":0,\"zone\":0,\"weights\":\"nominal\","
                + "\"ceilings\":{\"cancelling\":true,\"dial_timeout\":250.0,\"keepalive\":10000.0,\"max_hops\":3,"
                + "\"max_retry_after\":2000.0,\"probes\":false,\"retry_after\":true,\"second_copies\":true},"
                + "\"goal\":{\"whole\":0.55,\"worst_class\":0.2},"
                + "\"profiles\":["
                + String.join(",", profiles.stream().map(Profile::json).toList()) + "],"
                + "\"tenants\":[{\"name\":\"movil-norte\",\"share\":1.0}],"
                + "\"safety\":{\"answer_slack\":20.0,\"ask_within\":10000.0,\"cold\":9000.0,\"cold_from\":0.3,"
                + "\"drain_grace\":" + drainGrace + ",\"fall\":2000.0,\"fall_multiple\":3.0}}}";
    }
}
