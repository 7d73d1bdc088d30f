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

/** A load balancer with a fleet of ten endpoints (ids 100 to 109) whose responses are supplied by the test. */
public final class PolicyHarness implements PolicyActions {
    /** An attempt that the load balancer sent; attempts of a transaction are numbered from 0. */
    public record SentAttempt(long transactionId, long endpointId, long timeoutTicks, int number) {}

    /** How a transaction was rejected. */
    public enum Rejection {
        ROLLED_BACK,
        ABANDONED
    }

    /** A final response that the load balancer gave itself, by rejecting the transaction. */
    public record FinalResponse(Rejection rejection, long transactionId) {
        /** Returns the final response that the transaction has had no effect. */
        public static FinalResponse rolledBack(long transactionId) {
            return new FinalResponse(Rejection.ROLLED_BACK, transactionId);
        }

        /** Returns the final response that the transaction may or may not have had an effect. */
        public static FinalResponse abandoned(long transactionId) {
            return new FinalResponse(Rejection.ABANDONED, transactionId);
        }
    }

    public final List<SentAttempt> sent = new ArrayList<>();
    private final List<Long> sentAt = new ArrayList<>();
    public final List<FinalResponse> finalResponses = new ArrayList<>();
    public final List<RejectionReason> rejectionReasons = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    private final List<SentAttempt> inFlight = new ArrayList<>();
    private final Map<SentAttempt, Long> dueAt = new HashMap<>();
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    int subscriptions;
    public long now = 1_000_000;
    long nextTransactionId = 1;
    public final LoadBalancer loadBalancer;

    /**
     * Creates a harness with the profiles 0 (idempotent), 1 (idempotent by key) and 2 (non-idempotent), each with a
     * latency objective of 0.5 s and a deadline of 1 s.
     *
     * @param extraSettings further settings as lines of {@code path=value}
     */
    public PolicyHarness(DeduplicationScope scope, int maxAttempts, String... extraSettings) {
        this(7, scope, maxAttempts, extraSettings);
    }

    /** Creates one of several harnesses that differ only in their random numbers. */
    public PolicyHarness(long seed) {
        this(seed, DeduplicationScope.CELL, 3);
    }

    public PolicyHarness(long seed, DeduplicationScope scope, int maxAttempts, String... extraSettings) {
        this(seed, EndpointListLease.permanent(), scope, maxAttempts, extraSettings);
    }

    /** Creates a harness that sends only while the lease permits it. */
    public PolicyHarness(EndpointListLease lease, DeduplicationScope scope, int maxAttempts) {
        this(7, lease, scope, maxAttempts);
    }

    private PolicyHarness(
            long seed, EndpointListLease lease, DeduplicationScope scope, int maxAttempts, String... extraSettings) {
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
            String prefix = "profiles." + i + ".";
            settings.append(
                    prefix + "service_goal=500\n" + prefix + "hard_limit=1000\n" + prefix + "revenue=" + (1 + i) + "\n"
                            + prefix + "effect="
                            + List.of("repeatable", "by_key", "once").get(i) + "\n"
                            + prefix + "group=" + scope.name().toLowerCase(Locale.ROOT) + "\n" + prefix
                            + "dedup_window=2000\n");
        }
        settings.append(String.join("\n", extraSettings));
        loadBalancer = new LoadBalancer(
                PolicySettingsReader.ofLines(settings.toString()).read(), seed, this, lease);
        loadBalancer.start(now);
    }

    public PolicyHarness(String... extraSettings) {
        this(DeduplicationScope.CELL, 3, extraSettings);
    }

    /** Adds ten endpoints in two zones and five cells of two, all with the given state and start time. */
    public PolicyHarness fleet(State state, long launchedAt) {
        for (int i = 0; i < 10; i++) {
            update(100 + i, state, launchedAt);
        }
        return this;
    }

    public void update(long id, State state, long launchedAt) {
        int cell = (int) (id - 100) / 2;
        loadBalancer.onEndpointUpdates(
                now, List.of(new EndpointUpdate(id, (int) id % 2, 0, cell, state, 1, launchedAt)), false, false);
    }

    public long arrive(int profile) {
        loadBalancer.onArrival(now, nextTransactionId, profile, 0, 0, 10_000, 0);
        return nextTransactionId++;
    }

    /** Returns when the attempt with this index in {@link #sent} was sent, or a time in the far future. */
    long sentAt(int index) {
        return index < sentAt.size() ? sentAt.get(index) : Long.MAX_VALUE;
    }

    public SentAttempt lastAttempt() {
        return sent.get(sent.size() - 1);
    }

    public void endAttempt(SentAttempt attempt, AttemptOutcome outcome, long durationTicks) {
        loadBalancer.onAttemptEnded(
                now,
                attempt.transactionId(),
                attempt.number(),
                outcome,
                durationTicks,
                outcome == AttemptOutcome.COMMITTED);
    }

    public void advance(long ticks) {
        for (long end = now + ticks; now < end; ) {
            now += 100;
            loadBalancer.onTick(now);
        }
    }

    /**
     * Sends steady idempotent traffic, one transaction every 2 ms. Endpoints respond after 20 ms, the outlier after
     * {@code outlierDurationTicks} with {@code outlierOutcome}, or never if that is null.
     *
     * @return the number of attempts that were sent to the outlier
     */
    public int runTraffic(long ticks, long outlier, AttemptOutcome outlierOutcome, long outlierDurationTicks) {
        int first = sent.size();
        for (long end = now + ticks; now < end; ) {
            now += 20;
            if (now % 100 == 0) {
                loadBalancer.onTick(now);
            }
            int before = sent.size();
            arrive(0);
            for (int i = before; i < sent.size(); i++) {
                boolean atOutlier = sent.get(i).endpointId() == outlier;
                if (!atOutlier || outlierOutcome != null) {
                    dueAt.put(sent.get(i), now + (atOutlier ? outlierDurationTicks : 200));
                    inFlight.add(sent.get(i));
                }
            }
            for (SentAttempt each : List.copyOf(inFlight)) {
                if (dueAt.get(each) <= now) {
                    inFlight.remove(each);
                    boolean atOutlier = each.endpointId() == outlier;
                    AttemptOutcome outcome = atOutlier ? outlierOutcome : AttemptOutcome.COMMITTED;
                    if (outcome != null) {
                        endAttempt(each, outcome, atOutlier ? outlierDurationTicks : 200);
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
                transactionId, endpointId, timeoutTicks, attemptCounts.merge(transactionId, 1, Integer::sum) - 1));
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
