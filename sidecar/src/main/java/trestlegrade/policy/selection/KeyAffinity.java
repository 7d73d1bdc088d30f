package trestlegrade.policy.selection;

import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Derives the ring position of a transaction from its key if endpoints cache by key. Without this, the position is
 * random. The position of a key is the same at every sidecar. A hot key gets several positions, in proportion to its
 * share of this sidecar's transactions, and each transaction uses a random one of them. With a single position a hot
 * key would overload its endpoint.
 */
public final class KeyAffinity {
    /**
     * The load of one position, as a fraction of an endpoint's even share. With a value of one half, positions that
     * coincide at an endpoint rarely exceed one even share.
     */
    private static final double SHARE_PER_POSITION = 0.5;

    private static final long NO_KEY = 0;
    /** Separates the estimator's slots and the positions of keys from the ring's points. */
    private static final long SLOT_SALT = -2;

    private static final long FIRST_POSITION_SALT = -1;

    private final boolean enabled;
    private final ZoneAffinity zoneAffinity;
    private final SeededRandom random;
    private final KeyShareEstimator keyShares = new KeyShareEstimator();

    /** Creates a key affinity that draws one random number for each transaction with a key. */
    public KeyAffinity(PolicySettings settings, ZoneAffinity zoneAffinity, SeededRandom random) {
        enabled = settings.keyAffinity();
        this.zoneAffinity = zoneAffinity;
        this.random = random;
    }

    /**
     * Called when a transaction has arrived; returns the ring position of its key, or
     * {@link Transaction#NO_KEY_POSITION}.
     */
    public long onArrival(long key) {
        keyShares.onArrival();
        if (!enabled || key == NO_KEY) {
            return Transaction.NO_KEY_POSITION;
        }
        int endpoints = zoneAffinity.effectiveEndpoints();
        double share = keyShares.onKey(key, random.position(key, SLOT_SALT), endpoints / 2.0);
        int positions = (int) Math.min(endpoints, Math.ceil(share * endpoints / SHARE_PER_POSITION));
        return random.position(key, FIRST_POSITION_SALT - (int) (random.next() * positions));
    }
}
