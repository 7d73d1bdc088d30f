package trestlegrade.policy.selection;

import java.util.Arrays;
import java.util.List;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.random.SeededRandom;

/** The points of all servers in order of position, the same at every sidecar with the same list. */
public final class HashRing {
    // A point: its position (32 bits), its server's index (20) and which of that server's points it is (10).
    private static final int ORDINAL = 10;
    private static final int POSITION = 30;
    public static final int MOST_POINTS = 1 << ORDINAL;

    private long[] points = new long[0];

    /**
     * Brings each server's points to the number it shall have. Only those of servers whose number changed are laid
     * anew: all of them at each change of a growing list cost most of the time.
     */
    public void lay(List<Endpoint> servers, SeededRandom chance) {
        int n = 0;
        for (Endpoint server : servers) {
            n += server.points;
        }
        long[] laid = new long[n];
        int kept = 0;
        for (long point : points) {
            Endpoint server = servers.get(owner(point));
            if (server.points == server.laid) {
                laid[kept++] = point;
            }
        }
        int at = kept;
        for (Endpoint server : servers) {
            for (int ordinal = 0; ordinal < server.points && server.points != server.laid; ordinal++) {
                laid[at++] = chance.position(server.id, ordinal) << POSITION | (long) server.index << ORDINAL | ordinal;
            }
            server.laid = server.points;
        }
        Arrays.sort(laid, kept, n);
        Arrays.sort(laid);
        points = laid;
    }

    public int size() {
        return points.length;
    }

    /** The place of the first point at or after a position. */
    public int from(long position) {
        int at = Arrays.binarySearch(points, position << POSITION);
        return (at < 0 ? -at - 1 : at) % Math.max(1, points.length);
    }

    public int owner(int place) {
        return owner(points[place]);
    }

    public int ordinal(int place) {
        return (int) points[place] & (1 << ORDINAL) - 1;
    }

    private static int owner(long point) {
        return (int) (point >>> ORDINAL) & (1 << (POSITION - ORDINAL)) - 1;
    }
}
