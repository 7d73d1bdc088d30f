package trestlegrade.policy.endpoint;

/**
 * What the endpoint list says of one endpoint. {@code launchedAt} is when it last started, 0 when that is long ago;
 * ticks of 0.1 ms.
 */
public record EndpointUpdate(long id, int zone, int kind, int cell, State state, double weight, long launchedAt) {

    /** The same once it takes nothing new. */
    public EndpointUpdate asDraining() {
        return new EndpointUpdate(id, zone, kind, cell, State.DRAINING, weight, launchedAt);
    }

    /** Whether the endpoint takes new work, finishes what it has, or has left. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
