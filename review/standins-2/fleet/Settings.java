/** The settings of one sidecar of a hundred; times are milliseconds. */
final class Settings {
    private Settings() {}

    /**
     * Returns the settings as JSON.
     *
     * @param readLimit hard_limit of the profile quote, which may be repeated
     * @param writeLimit hard_limit of the profile charge, which must never run twice
     */
    static String json(int readLimit, int writeLimit) {
        return "{\"azs\":[\"a\"],\"flavors\":[\"m\"],\"membership_mode\":\"on_request\","
                + "\"n_instances\":100,\"my_number\":0,\"zone\":0,\"weights\":\"nominal\","
                + "\"ceilings\":{\"cancelling\":true,\"dial_timeout\":250.0,\"keepalive\":10000.0,\"max_hops\":3,"
                + "\"max_retry_after\":2000.0,\"retry_after\":true,\"second_copies\":false},"
                + "\"profiles\":[{\"name\":\"quote\",\"effect\":\"repeatable\",\"group\":\"all\",\"dedup_window\":5000.0,"
                + "\"service_goal\":500.0,\"hard_limit\":" + readLimit + ".0,\"revenue\":2.0},"
                + "{\"name\":\"charge\",\"effect\":\"once\",\"group\":\"all\",\"dedup_window\":5000.0,"
                + "\"service_goal\":600.0,\"hard_limit\":" + writeLimit + ".0,\"revenue\":10.0}],"
                + "\"tenants\":[{\"name\":\"acme\",\"share\":1.0}],"
                + "\"safety\":{\"answer_slack\":20.0,\"ask_within\":10000.0,\"cold\":9000.0,\"cold_from\":0.3,"
                + "\"drain_grace\":1000.0,\"fall\":2000.0,\"fall_multiple\":3.0}}";
    }
}
