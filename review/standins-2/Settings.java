/** Settings of a small deployment, as the sidecar finds them in its configuration. */
final class Settings {
    private static final String FORM = """
            {"azs":["a"],"flavors":["m1"],"membership_mode":"on_request","n_instances":1,"my_number":0,"weights":"off",
             "ceilings":{"cancelling":true,"dial_timeout":%d,"keepalive":10000,"max_hops":3,"retry_after":true,
                         "max_retry_after":2000},
             "profiles":[%s],
             "tenants":[{"name":"acme","share":1.0}],
             "safety":{"answer_slack":20,"ask_within":10000,"drain_grace":1000,"cold_from":0.3,"cold":9000,
                       "fall_multiple":3,"fall":2000}}""";

    static final String QUOTE =
            "{\"name\":\"quote\",\"effect\":\"repeatable\",\"service_goal\":500,\"hard_limit\":1500,\"revenue\":2}";
    static final String POST_CHARGE =
            "{\"name\":\"post-charge\",\"effect\":\"once\",\"service_goal\":600,\"hard_limit\":3000,\"revenue\":10}";

    private Settings() {}

    static String with(int dialTimeoutMillis, String... profiles) {
        return FORM.formatted(dialTimeoutMillis, String.join(",", profiles));
    }
}
