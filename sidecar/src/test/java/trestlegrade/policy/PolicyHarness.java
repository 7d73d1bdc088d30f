package trestlegrade.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import trestlegrade.config.PolicySettingsReader;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.settings.PolicySettings.DeduplicationScope;

/** A sidecar's decisions with a fleet of ten endpoints (ids 100 to 109), whose answers the test gives by hand. */
public final class PolicyHarness implements PolicyActions {
    /** An attempt that the decisions sent; attempts of a transaction are numbered from 0. */
    public record SentAttempt(long transactionId, long endpointId, long timeoutTicks, int number) {}

    /** How a transaction was rejected. */
    public enum Rejection {
        ROLLED_BACK,
        ABANDONED
    }

    /** A final answer that the decisions gave without an endpoint's response. */
    public record FinalResponse(Rejection rejection, long transactionId) {
        /** It has had no effect. */
        public static FinalResponse rolledBack(long transactionId) {
            return new FinalResponse(Rejection.ROLLED_BACK, transactionId);
        }

        /** Nothing is promised of its effect. */
        public static FinalResponse abandoned(long transactionId) {
            return new FinalResponse(Rejection.ABANDONED, transactionId);
        }
    }

    public final List<SentAttempt> sent = new ArrayList<>();
    private final List<Long> sentAt = new ArrayList<>();
    public final List<FinalResponse> finalResponses = new ArrayList<>();
    public final List<RejectionReason> rejectionReasons = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    private final List<SentAttempt> out = new ArrayList<>();
    private final Map<SentAttempt, Long> due = new HashMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    int subscriptions;
    public long now = 1_000_000;
    long nextTransactionId = 1;
    public final LoadBalancer loadBalancer;

    /** Profiles 0 idempotent, 1 journalled, 2 non-idempotent; goal 0.5 s, deadline 1 s; and further settings. */
    public PolicyHarness(DeduplicationScope group, int maxAttempts, String... further) {
        this(7, group, maxAttempts, further);
    }

    /** One of several that differ by chance alone. */
    public PolicyHarness(long seed) {
        this(seed, DeduplicationScope.CELL, 3);
    }

    public PolicyHarness(long seed, DeduplicationScope group, int maxAttempts, String... further) {
        this(seed, EndpointListLease.permanent(), group, maxAttempts, further);
    }

    /** One that sends by a list as long as the lease holds. */
    public PolicyHarness(EndpointListLease lease, DeduplicationScope group, int maxAttempts) {
        this(7, lease, group, maxAttempts);
    }

    private PolicyHarness(
            long seed, EndpointListLease lease, DeduplicationScope group, int maxAttempts, String... further) {
        StringBuilder settings = new StringBuilder("""
                n_instances=4
                ceilings.cancelling=true
                ceilings.retry_after=true
                ceilings.max_retry_after=1000
                membership_mode=on_request
                weights=nominal
                safety.cold_from=0.2
                safety.cold=20000
                safety.fall_multiple=3
                safety.fall=1000
                profiles.count=3
                """)
                .append("ceilings.max_hops=")
                .append(maxAttempts)
                .append('\n');
        for (int i = 0; i < 3; i++) {
            String at = "profiles." + i + ".";
            settings.append(at + "service_goal=500\n" + at + "hard_limit=1000\n" + at + "revenue=" + (1 + i) + "\n"
                    + at + "effect=" + List.of("repeatable", "by_key", "once").get(i) + "\n"
                    + at + "group=" + group.name().toLowerCase(Locale.ROOT) + "\n" + at + "dedup_window=2000\n");
        }
        settings.append(String.join("\n", further));
        loadBalancer = new LoadBalancer(
                PolicySettingsReader.ofLines(settings.toString()).read(), seed, this, lease);
        loadBalancer.start(now);
    }

    public PolicyHarness(String... further) {
        this(DeduplicationScope.CELL, 3, further);
    }

    /** Endpoints in two zones and five cells of two, all in the state and with the start given. */
    public PolicyHarness fleet(State state, long launched) {
        for (int i = 0; i < 10; i++) {
            update(100 + i, state, launched);
        }
        return this;
    }

    public void update(long id, State state, long launched) {
        int cell = (int) (id - 100) / 2;
        loadBalancer.onEndpointUpdates(
                now, List.of(new EndpointUpdate(id, (int) id % 2, 0, cell, state, 1, launched)), false, false);
    }

    public long arrive(int profile) {
        loadBalancer.onArrival(now, nextTransactionId, profile, 0, 0, 10_000, 0);
        return nextTransactionId++;
    }

    /** When an attempt was sent, by its place among all. */
    long sentAt(int place) {
        return place < sentAt.size() ? sentAt.get(place) : Long.MAX_VALUE;
    }

    public SentAttempt lastAttempt() {
        return sent.get(sent.size() - 1);
    }

    public void endAttempt(SentAttempt attempt, AttemptOutcome outcome, long took) {
        loadBalancer.onAttemptEnded(
                now, attempt.transactionId(), attempt.number(), outcome, took, outcome == AttemptOutcome.COMMITTED);
    }

    public void advance(long span) {
        for (long end = now + span; now < end; ) {
            now += 100;
            loadBalancer.onTick(now);
        }
    }

    /**
     * Sends steady idempotent traffic, one every 2 ms; an endpoint takes 20 ms, the outlier what
     * {@code outlierTookTicks} says with {@code outlierOutcome}, or never answers if that is null. Returns how many
     * attempts the outlier one got.
     */
    public int runTraffic(long span, long outlier, AttemptOutcome outlierOutcome, long outlierTookTicks) {
        int first = sent.size();
        for (long end = now + span; now < end; ) {
            now += 20;
            if (now % 100 == 0) {
                loadBalancer.onTick(now);
            }
            int before = sent.size();
            arrive(0);
            for (int i = before; i < sent.size(); i++) {
                boolean atOutlier = sent.get(i).endpointId() == outlier;
                if (!atOutlier || outlierOutcome != null) {
                    due.put(sent.get(i), now + (atOutlier ? outlierTookTicks : 200));
                    out.add(sent.get(i));
                }
            }
            for (SentAttempt each : List.copyOf(out)) {
                if (due.get(each) <= now) {
                    out.remove(each);
                    boolean atOutlier = each.endpointId() == outlier;
                    AttemptOutcome outcome = atOutlier ? outlierOutcome : AttemptOutcome.COMMITTED;
                    if (outcome != null) {
                        endAttempt(each, outcome, atOutlier ? outlierTookTicks : 200);
                    }
                }
            }
        }
        return (int)
                sent.stream().skip(first).filter(s -> s.endpointId() == outlier).count();
    }

    @Override
    public void send(long transactionId, long endpointId, long timeoutTicks, long writeBefore) {
        sentAt.add(now);
        sent.add(new SentAttempt(
                transactionId, endpointId, timeoutTicks, attempts.merge(transactionId, 1, Integer::sum) - 1));
    }

    @Override
    public void cancel(long transactionId, int attempt) {
        cancelled.add(transactionId);
    }

    @Override
    public void rollBack(long transactionId, long retryAfterTicks, RejectionReason reason) {
        finalResponses.add(FinalResponse.rolledBack(transactionId));
        rejectionReasons.add(reason);
    }

    @Override
    public void abandon(long transactionId, RejectionReason reason) {
        finalResponses.add(FinalResponse.abandoned(transactionId));
    }

    @Override
    public void scheduleTick(long delayTicks) {}

    @Override
    public void subscribe() {
        subscriptions++;
    }
}
