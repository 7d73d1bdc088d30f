package trestlegrade.policy.endpoint;

import java.util.Arrays;
import java.util.List;
import trestlegrade.policy.estimate.DecayingValue;
import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.settings.PolicySettings;

/** One server as one sidecar knows it: what the list says, the call tracker's sums and the grades. */
public final class Endpoint {
    public final long id;
    public final int index;
    public int zone;
    public int cell;
    public Kind kind;
    public double weight = 1;
    /** The weight as it was listed. */
    public double shown = 1;
    /** How many transactions for each core the list said that it holds, halved in 3 s. */
    public final DecayingValue told = new DecayingValue(30_000);
    /** When it last started, as the list tells it. */
    public long launched;
    /** When its warming began, by the clock here. */
    public long coldSince;

    public boolean ready;
    public boolean gone;
    /** Whether this sidecar sends to it at all. */
    public boolean used;
    /** Points on the ring when healthy. */
    public int points;

    public int laid;
    public int out;
    public long lastSent;
    public long refusedPick = -1;

    // The call tracker.
    public final SlidingWindowSum calls = new SlidingWindowSum(250_000, 25);
    public final SlidingWindowSum failures = new SlidingWindowSum(250_000, 25);
    public final SlidingWindowSum answers = new SlidingWindowSum(250_000, 25);
    public final SlidingWindowSum slowness = new SlidingWindowSum(250_000, 25);
    public double answersNow;
    public double slownessNow;
    /** Mean slowness as last graded. */
    public double mean = 1;

    public final SlidingWindowSum sentLately;
    public final SlidingWindowSum committed;
    public double drop;
    public double pace;
    public long lastAnswer;
    public int failedInRow;
    /** When the latest was sent that it served, since it last turned one away. */
    public long servedAt = EndpointListLease.NEVER;

    private long refusedAt = EndpointListLease.NEVER;
    public double silence;
    public long ages;
    public int heardOf;

    // None but trials while shut out.
    public boolean shut;
    public long tryAt;
    public long patience;
    public int trialsLeft;
    public int trialsOut;

    // How much of the latest of each profile failed, and when that was last told.
    private final double[] profileFailed;
    private final long[] profileTold;

    public Endpoint(long id, int index, PolicySettings terms) {
        this.id = id;
        this.index = index;
        profileFailed = new double[terms.profiles().size()];
        profileTold = new long[profileFailed.length];
        long coldSpan = terms.fallSpan();
        // An eighth more than the span, so that the buckets always cover it.
        sentLately = new SlidingWindowSum(coldSpan + coldSpan / 8, 9);
        committed = new SlidingWindowSum(coldSpan, 8);
    }

    /** What those of one kind show together. */
    public static final class Kind {
        public double slowness;
        public double answers;
        /** The most that the list ever said. */
        public double size;

        public void clear() {
            slowness = 0;
            answers = 0;
        }
    }

    public void listed(EndpointUpdate row, Kind itsKind, boolean weighed) {
        ready = row.state() == EndpointUpdate.State.READY;
        used &= ready;
        zone = row.zone();
        kind = itsKind;
        cell = row.cell();
        launched = row.launched();
        shown = weighed && row.weight() > 0 ? row.weight() : 1;
        weight = shown;
        kind.size = Math.max(kind.size, shown);
    }

    /** Lowered by what a server holds, a weight is no size: the most that its kind ever showed is. */
    public void shownBusy(long now) {
        weight = kind.size;
        // Its peaks stay in mind: a jammed server that was left alone drained, and was filled again at once.
        told.set(now, Math.max(told.at(now), weight / shown - 1));
    }

    /** Points left by the drop rate, over the design's floor of one. */
    public int livePoints() {
        return Math.max(1, (int) Math.round(points * (1 - drop)));
    }

    public void leave() {
        ready = false;
        used = false;
        gone = true;
    }

    /** The place of one that has left and that no attempt and no point on the ring refers to any more, or the end. */
    public static int vacancy(List<Endpoint> servers) {
        for (Endpoint server : servers) {
            if (server.gone && server.out == 0 && server.laid == 0) {
                return server.index;
            }
        }
        return servers.size();
    }

    /** What an answer to this profile tells of it, good or not; other ends tell of the server as a whole. */
    public void ended(long now, int profile, AttemptOutcome outcome) {
        boolean failed = outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.BROKEN;
        if (failed || outcome == AttemptOutcome.COMMITTED) {
            profileFailed[profile] = failing(now, profile) * (1 - PROFILE_STEP) + (failed ? PROFILE_STEP : 0);
            profileTold[profile] = now;
        }
    }

    /** What an attempt tells of whether it takes new requests. */
    public void tells(long now, long sent, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.TURNED_AWAY || outcome == AttemptOutcome.NO_CONNECTION) {
            servedAt = EndpointListLease.NEVER;
            refusedAt = now;
        } else if (outcome == AttemptOutcome.COMMITTED && sent > refusedAt) {
            servedAt = Math.max(servedAt, sent);
        }
    }

    /** The share of a profile that fails here, as far as is known; what was known long ago counts for little. */
    public double failing(long now, int profile) {
        return profileFailed[profile] * Math.pow(0.5, (now - profileTold[profile]) / PROFILE_MEMORY);
    }

    // Two failures in a row make half, one does not: a few failures from all alike condemn none.
    private static final double PROFILE_STEP = 0.3;
    // Halved in 5 s, the design's span: one that goes on failing is asked for that profile every four seconds.
    private static final double PROFILE_MEMORY = 50_000;

    /** Forgets what was measured of an earlier life. */
    public void startAfresh(long now, double meanDrop, long firstPatience) {
        drop = meanDrop;
        pace = 1;
        told.set(now, 0);
        shut = false;
        patience = firstPatience;
        failedInRow = 0;
        lastAnswer = now;
        servedAt = EndpointListLease.NEVER;
        Arrays.fill(profileFailed, 0);
        SlidingWindowSum[] all = {calls, failures, answers, slowness, committed};
        for (SlidingWindowSum each : all) {
            each.clear();
        }
    }
}
