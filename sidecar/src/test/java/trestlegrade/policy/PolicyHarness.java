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
import trestlegrade.policy.settings.PolicySettings.Group;

/** A sidecar's decisions with a fleet of ten servers (ids 100 to 109), whose answers the test gives by hand. */
public final class PolicyHarness implements PolicyActions {
    public record Sent(long tx, long server, long timeout, int attempt) {}

    public final List<Sent> sent = new ArrayList<>();
    private final List<Long> sentAt = new ArrayList<>();
    public final List<String> answers = new ArrayList<>();
    public final List<RejectionReason> refusals = new ArrayList<>();
    final List<Long> calledOff = new ArrayList<>();
    private final List<Sent> out = new ArrayList<>();
    private final Map<Sent, Long> due = new HashMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    int subscriptions;
    public long now = 1_000_000;
    long nextTx = 1;
    public final LoadBalancer balance;

    /** Profiles 0 idempotent, 1 journalled, 2 non-idempotent; goal 0.5 s, deadline 1 s; and further settings. */
    public PolicyHarness(Group group, int maxAttempts, String... further) {
        this(7, group, maxAttempts, further);
    }

    /** One of several that differ by chance alone. */
    public PolicyHarness(long seed) {
        this(seed, Group.CELL, 3);
    }

    public PolicyHarness(long seed, Group group, int maxAttempts, String... further) {
        this(seed, EndpointListLease.permanent(), group, maxAttempts, further);
    }

    /** One that sends by a list as long as the lease holds. */
    public PolicyHarness(EndpointListLease lease, Group group, int maxAttempts) {
        this(7, lease, group, maxAttempts);
    }

    private PolicyHarness(long seed, EndpointListLease lease, Group group, int maxAttempts, String... further) {
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
        balance = new LoadBalancer(
                PolicySettingsReader.ofLines(settings.toString()).read(), seed, this, lease);
        balance.start(now);
    }

    public PolicyHarness(String... further) {
        this(Group.CELL, 3, further);
    }

    /** Servers in two zones and five cells of two, all in the state and with the start given. */
    public PolicyHarness fleet(State state, long launched) {
        for (int i = 0; i < 10; i++) {
            list(100 + i, state, launched);
        }
        return this;
    }

    public void list(long id, State state, long launched) {
        int cell = (int) (id - 100) / 2;
        balance.onEndpointUpdates(
                now, List.of(new EndpointUpdate(id, (int) id % 2, 0, cell, state, 1, launched)), false, false);
    }

    public long arrive(int profile) {
        balance.onArrival(now, nextTx, profile, 0, 0, 10_000, 0);
        return nextTx++;
    }

    /** When an attempt was sent, by its place among all. */
    long sentAt(int place) {
        return place < sentAt.size() ? sentAt.get(place) : Long.MAX_VALUE;
    }

    public Sent last() {
        return sent.get(sent.size() - 1);
    }

    public void end(Sent attempt, AttemptOutcome outcome, long took) {
        balance.onAttemptEnded(
                now, attempt.tx(), attempt.attempt(), outcome, took, outcome == AttemptOutcome.COMMITTED);
    }

    public void pass(long span) {
        for (long end = now + span; now < end; ) {
            now += 100;
            balance.onTick(now);
        }
    }

    /**
     * Sends steady idempotent traffic, one every 2 ms; a server takes 20 ms, the odd one what {@code oddTook} says with
     * {@code oddOutcome}, or never answers if that is null. Returns how many attempts the odd one got.
     */
    public int traffic(long span, long odd, AttemptOutcome oddOutcome, long oddTook) {
        int first = sent.size();
        for (long end = now + span; now < end; ) {
            now += 20;
            if (now % 100 == 0) {
                balance.onTick(now);
            }
            int before = sent.size();
            arrive(0);
            for (int i = before; i < sent.size(); i++) {
                boolean isOdd = sent.get(i).server() == odd;
                if (!isOdd || oddOutcome != null) {
                    due.put(sent.get(i), now + (isOdd ? oddTook : 200));
                    out.add(sent.get(i));
                }
            }
            for (Sent each : List.copyOf(out)) {
                if (due.get(each) <= now) {
                    out.remove(each);
                    boolean isOdd = each.server() == odd;
                    AttemptOutcome outcome = isOdd ? oddOutcome : AttemptOutcome.COMMITTED;
                    if (outcome != null) {
                        end(each, outcome, isOdd ? oddTook : 200);
                    }
                }
            }
        }
        return (int) sent.stream().skip(first).filter(s -> s.server() == odd).count();
    }

    @Override
    public void send(long tx, long endpoint, long timeout, long writtenBefore) {
        sentAt.add(now);
        sent.add(new Sent(tx, endpoint, timeout, attempts.merge(tx, 1, Integer::sum) - 1));
    }

    @Override
    public void cancel(long tx, int attempt) {
        calledOff.add(tx);
    }

    @Override
    public void rollBack(long tx, long pause, RejectionReason why) {
        answers.add("rolled back " + tx);
        refusals.add(why);
    }

    @Override
    public void abandon(long tx, RejectionReason why) {
        answers.add("abandoned " + tx);
    }

    @Override
    public void scheduleTick(long span) {}

    @Override
    public void subscribe() {
        subscriptions++;
    }
}
