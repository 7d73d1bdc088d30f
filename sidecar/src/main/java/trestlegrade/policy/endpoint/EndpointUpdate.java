package trestlegrade.policy.endpoint;

/**
 * The entry of one endpoint in the endpoint list. {@code launchedAt} is when the endpoint last started, in ticks of 0.1
 * ms, or 0 if that is long ago.
 */
public record EndpointUpdate(
        long id, int zone, int instanceType, int cell, State state, double weight, long launchedAt) {

    /** Returns the same entry in the state {@link State#DRAINING}. */
    public EndpointUpdate asDraining() {
        return new EndpointUpdate(id, zone, instanceType, cell, State.DRAINING, weight, launchedAt);
    }

    /** Whether the endpoint accepts new work, only finishes its current work, or was removed from the list. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
