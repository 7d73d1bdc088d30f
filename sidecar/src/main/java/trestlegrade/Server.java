package trestlegrade;

import java.util.Arrays;
import java.util.List;

/** One server as one sidecar knows it: what the list says, the call tracker's sums and the grades. */
final class Server {
    final long id;
    final int index;
    int zone;
    int cell;
    Kind kind;
    double weight = 1;
    /** The weight as it was listed. */
    double shown = 1;
    /** How many transactions for each core the list said that it holds, halved in 3 s. */
    final Fading told = new Fading(30_000);
    /** When it last started, as the list tells it. */
    long launched;
    /** When its warming began, by the clock here. */
    long coldSince;

    boolean ready;
    boolean gone;
    /** Whether this sidecar sends to it at all. */
    boolean used;
    /** Points on the ring when healthy. */
    int points;

    int laid;
    int out;
    long lastSent;
    long refusedPick = -1;

    // The call tracker.
    final Buckets calls = new Buckets(250_000, 25);
    final Buckets failures = new Buckets(250_000, 25);
    final Buckets answers = new Buckets(250_000, 25);
    final Buckets slowness = new Buckets(250_000, 25);
    double answersNow;
    double slownessNow;
    /** Mean slowness as last graded. */
    double mean = 1;

    final Buckets sentLately;
    final Buckets committed;
    double drop;
    double pace;
    long lastAnswer;
    int failedInRow;
    /** When the latest was sent that it served, since it last turned one away. */
    long servedAt = ListLease.NEVER;

    private long refusedAt = ListLease.NEVER;
    double silence;
    long ages;
    int heardOf;

    // None but trials while shut out.
    boolean shut;
    long tryAt;
    long patience;
    int trialsLeft;
    int trialsOut;

    // How much of the latest of each profile failed, and when that was last told.
    private final double[] profileFailed;
    private final long[] profileTold;

    Server(long id, int index, Terms terms) {
        this.id = id;
        this.index = index;
        profileFailed = new double[terms.profiles().size()];
        profileTold = new long[profileFailed.length];
        long coldSpan = terms.fallSpan();
        // An eighth more than the span, so that the buckets always cover it.
        sentLately = new Buckets(coldSpan + coldSpan / 8, 9);
        committed = new Buckets(coldSpan, 8);
    }

    /** What those of one kind show together. */
    static final class Kind {
        double slowness;
        double answers;
        /** The most that the list ever said. */
        double size;

        void clear() {
            slowness = 0;
            answers = 0;
        }
    }

    void listed(Listed row, Kind itsKind, boolean weighed) {
        ready = row.state() == Listed.State.READY;
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
    void shownBusy(long now) {
        weight = kind.size;
        // Its peaks stay in mind: a jammed server that was left alone drained, and was filled again at once.
        told.set(now, Math.max(told.at(now), weight / shown - 1));
    }

    /** Points left by the drop rate, over the design's floor of one. */
    int livePoints() {
        return Math.max(1, (int) Math.round(points * (1 - drop)));
    }

    void leave() {
        ready = false;
        used = false;
        gone = true;
    }

    /** The place of one that has left and that no attempt and no point on the ring refers to any more, or the end. */
    static int vacancy(List<Server> servers) {
        for (Server server : servers) {
            if (server.gone && server.out == 0 && server.laid == 0) {
                return server.index;
            }
        }
        return servers.size();
    }

    /** What an answer to this profile tells of it, good or not; other ends tell of the server as a whole. */
    void ended(long now, int profile, Outcome outcome) {
        boolean failed = outcome == Outcome.ERROR || outcome == Outcome.BROKEN;
        if (failed || outcome == Outcome.COMMITTED) {
            profileFailed[profile] = failing(now, profile) * (1 - PROFILE_STEP) + (failed ? PROFILE_STEP : 0);
            profileTold[profile] = now;
        }
    }

    /** What an attempt tells of whether it takes new requests. */
    void tells(long now, long sent, Outcome outcome) {
        if (outcome == Outcome.TURNED_AWAY || outcome == Outcome.NO_CONNECTION) {
            servedAt = ListLease.NEVER;
            refusedAt = now;
        } else if (outcome == Outcome.COMMITTED && sent > refusedAt) {
            servedAt = Math.max(servedAt, sent);
        }
    }

    /** The share of a profile that fails here, as far as is known; what was known long ago counts for little. */
    double failing(long now, int profile) {
        return profileFailed[profile] * Math.pow(0.5, (now - profileTold[profile]) / PROFILE_MEMORY);
    }

    // Two failures in a row make half, one does not: a few failures from all alike condemn none.
    private static final double PROFILE_STEP = 0.3;
    // Halved in 5 s, the design's span: one that goes on failing is asked for that profile every four seconds.
    private static final double PROFILE_MEMORY = 50_000;

    /** Forgets what was measured of an earlier life. */
    void startAfresh(long now, double meanDrop, long firstPatience) {
        drop = meanDrop;
        pace = 1;
        told.set(now, 0);
        shut = false;
        patience = firstPatience;
        failedInRow = 0;
        lastAnswer = now;
        servedAt = ListLease.NEVER;
        Arrays.fill(profileFailed, 0);
        Buckets[] all = {calls, failures, answers, slowness, committed};
        for (Buckets each : all) {
            each.clear();
        }
    }
}
