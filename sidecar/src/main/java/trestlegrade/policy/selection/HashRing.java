package trestlegrade.policy.selection;

import java.util.Arrays;
import java.util.List;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.random.SeededRandom;

/**
 * A consistent-hash ring: the points of all endpoints in order of position, the same at every sidecar with the same
 * list. A point packs its position (32 bits), its endpoint's index (20) and its ordinal among that endpoint's points
 * (10).
 */
public final class HashRing {
    private static final int ORDINAL_BITS = 10;
    private static final int POSITION_SHIFT = 30;
    /** The most points that one endpoint can have. */
    public static final int MOST_POINTS = 1 << ORDINAL_BITS;

    private long[] points = new long[0];

    /**
     * Gives each endpoint as many points as its {@link Endpoint#ringPoints}. Only those of endpoints whose number
     * changed are computed anew, since a long list grows by many small changes.
     */
    public void lay(List<Endpoint> endpoints, SeededRandom random) {
        int count = 0;
        for (Endpoint endpoint : endpoints) {
            count += endpoint.ringPoints();
        }
        long[] laid = new long[count];
        int kept = 0;
        for (long point : points) {
            if (!hasChanged(endpoints.get(indexOf(point)))) {
                laid[kept++] = point;
            }
        }
        int next = kept;
        for (Endpoint endpoint : endpoints) {
            if (hasChanged(endpoint)) {
                for (int ordinal = 0; ordinal < endpoint.ringPoints(); ordinal++) {
                    laid[next++] = point(random.position(endpoint.id(), ordinal), endpoint.index(), ordinal);
                }
            }
            endpoint.onRingLaid();
        }
        // The kept points are in order, so that sorting both parts one after the other is faster than all at once.
        Arrays.sort(laid, kept, count);
        Arrays.sort(laid);
        points = laid;
    }

    private static boolean hasChanged(Endpoint endpoint) {
        return endpoint.ringPoints() != endpoint.laidRingPoints();
    }

    /** Number of points. */
    public int size() {
        return points.length;
    }

    /** The place of the first point at or after a position. */
    public int placeFrom(long position) {
        int found = Arrays.binarySearch(points, position << POSITION_SHIFT);
        return (found < 0 ? -found - 1 : found) % Math.max(1, points.length);
    }

    /** The index of the endpoint whose point is at that place. */
    public int endpointIndex(int place) {
        return indexOf(points[place]);
    }

    /** Which of its endpoint's points is at that place. */
    public int ordinal(int place) {
        return (int) points[place] & (1 << ORDINAL_BITS) - 1;
    }

    private static long point(long position, int endpointIndex, int ordinal) {
        return position << POSITION_SHIFT | (long) endpointIndex << ORDINAL_BITS | ordinal;
    }

    private static int indexOf(long point) {
        return (int) (point >>> ORDINAL_BITS) & (1 << (POSITION_SHIFT - ORDINAL_BITS)) - 1;
    }
}
