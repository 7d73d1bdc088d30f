package trestlegrade;

import java.util.List;

/** One server as one sidecar knows it: what the list says, the call tracker's sums and the grades. */
final class Server {
    final long id;
    final int index;
    int zone;
    int cell;
    int kind;
    double weight = 1;
    long launched;
    boolean ready;
    boolean gone;
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
    double silence;
    long ages;
    int heardOf;

    // None but trials while shut out.
    boolean shut;
    long tryAt;
    long patience;
    int trialsLeft;
    int trialsOut;

    Server(long id, int index, long coldSpan) {
        this.id = id;
        this.index = index;
        // An eighth more than the span, so that the buckets always cover it.
        sentLately = new Buckets(coldSpan + coldSpan / 8, 9);
        committed = new Buckets(coldSpan, 8);
    }

    void leave() {
        ready = false;
        gone = true;
    }

    /** The place of one that has left and that no hop and no point on the ring refers to any more, or the end. */
    static int vacancy(List<Server> servers) {
        for (Server server : servers) {
            if (server.gone && server.out == 0 && server.laid == 0) {
                return server.index;
            }
        }
        return servers.size();
    }

    /** Forgets what was measured of an earlier life. */
    void startAfresh(long now, double meanDrop, long firstPatience) {
        drop = meanDrop;
        pace = 1;
        shut = false;
        patience = firstPatience;
        failedInRow = 0;
        lastAnswer = now;
        Buckets[] all = {calls, failures, answers, slowness, committed};
        for (Buckets each : all) {
            each.clear();
        }
    }
}
