package trestlegrade.policy.selection;

import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Where endpoints cache by key, the ring position comes from the key instead of from chance, the same at every sidecar.
 * A key that is hot gets several positions, as many as its share of the transactions here is worth of endpoints, and
 * one of them by chance for each transaction: one position would overload its endpoint.
 */
public final class KeyAffinity {
    /** A position takes half of an endpoint's even part, so that chance rarely heaps up more than one part. */
    private static final double POSITION_PART = 0.5;

    private static final long NO_KEY = 0;
    /** Sets the estimator's slots, and the positions of keys, apart from the ring's points. */
    private static final long SLOT_SALT = -2;

    private static final long FIRST_POSITION_SALT = -1;

    private final boolean enabled;
    private final ZoneAffinity zoneAffinity;
    private final SeededRandom random;
    private final KeyShareEstimator shares = new KeyShareEstimator();

    /** Draws from the random source for each transaction with a key. */
    public KeyAffinity(PolicySettings settings, ZoneAffinity zoneAffinity, SeededRandom random) {
        enabled = settings.keyAffinity();
        this.zoneAffinity = zoneAffinity;
        this.random = random;
    }

    /** A transaction has arrived: its key's ring position, or {@link Transaction#NO_KEY_POSITION}. */
    public long onArrival(long key) {
        shares.onArrival();
        if (!enabled || key == NO_KEY) {
            return Transaction.NO_KEY_POSITION;
        }
        int endpoints = zoneAffinity.endpointsInReach();
        double share = shares.onKey(key, random.position(key, SLOT_SALT), endpoints / 2.0);
        int positions = (int) Math.min(endpoints, Math.ceil(share * endpoints / POSITION_PART));
        return random.position(key, FIRST_POSITION_SALT - (int) (random.next() * positions));
    }
}
