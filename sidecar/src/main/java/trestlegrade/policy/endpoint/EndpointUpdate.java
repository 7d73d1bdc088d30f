package trestlegrade.policy.endpoint;

/** What the list of endpoints says of one of them; {@code launched} is 0 when it started long ago. */
public record EndpointUpdate(long id, int zone, int kind, int cell, State state, double weight, long launched) {

    /** The same once it takes nothing new. */
    public EndpointUpdate draining() {
        return new EndpointUpdate(id, zone, kind, cell, State.DRAINING, weight, launched);
    }

    /** Whether the endpoint takes new work, finishes what it has, or has left. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
