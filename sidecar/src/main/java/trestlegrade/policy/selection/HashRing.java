package trestlegrade.policy.selection;

import java.util.Arrays;
import java.util.List;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.random.SeededRandom;

/**
 * A consistent-hash ring: the points of all endpoints ordered by position. It is the same at every sidecar with the
 * same list. A point packs its position (32 bits), the index of its endpoint (20 bits) and its ordinal among the points
 * of that endpoint (10 bits).
 */
public final class HashRing {
    private static final int ORDINAL_BITS = 10;
    private static final int POSITION_SHIFT = 30;
    /** The maximum number of points of one endpoint. */
    public static final int MAX_POINTS = 1 << ORDINAL_BITS;

    private long[] points = new long[0];

    /**
     * Builds the ring with {@link Endpoint#ringPoints} points for each endpoint. Only the points of endpoints whose
     * number of points changed are recomputed, because a long list grows by many small changes.
     */
    public void build(List<Endpoint> endpoints, SeededRandom random) {
        int count = 0;
        for (Endpoint endpoint : endpoints) {
            count += endpoint.ringPoints();
        }
        long[] newPoints = new long[count];
        int unchanged = 0;
        for (long point : points) {
            if (!hasChanged(endpoints.get(endpointIndexOf(point)))) {
                newPoints[unchanged++] = point;
            }
        }
        int next = unchanged;
        for (Endpoint endpoint : endpoints) {
            if (hasChanged(endpoint)) {
                for (int ordinal = 0; ordinal < endpoint.ringPoints(); ordinal++) {
                    newPoints[next++] = point(random.position(endpoint.id(), ordinal), endpoint.index(), ordinal);
                }
            }
            endpoint.onRingBuilt();
        }
        // The unchanged points are already sorted, so sorting the new points first is faster than sorting all at once.
        Arrays.sort(newPoints, unchanged, count);
        Arrays.sort(newPoints);
        points = newPoints;
    }

    private static boolean hasChanged(Endpoint endpoint) {
        return endpoint.ringPoints() != endpoint.builtRingPoints();
    }

    /** Returns the number of points. */
    public int size() {
        return points.length;
    }

    /** Returns the index of the first point at or after a position. */
    public int indexAtOrAfter(long position) {
        int found = Arrays.binarySearch(points, position << POSITION_SHIFT);
        return (found < 0 ? -found - 1 : found) % Math.max(1, points.length);
    }

    /** Returns the index of the endpoint to which the point at the given index belongs. */
    public int endpointIndex(int index) {
        return endpointIndexOf(points[index]);
    }

    /** Returns the ordinal of the point at the given index among the points of its endpoint. */
    public int ordinal(int index) {
        return (int) points[index] & (1 << ORDINAL_BITS) - 1;
    }

    private static long point(long position, int endpointIndex, int ordinal) {
        return position << POSITION_SHIFT | (long) endpointIndex << ORDINAL_BITS | ordinal;
    }

    private static int endpointIndexOf(long point) {
        return (int) (point >>> ORDINAL_BITS) & (1 << (POSITION_SHIFT - ORDINAL_BITS)) - 1;
    }
}
