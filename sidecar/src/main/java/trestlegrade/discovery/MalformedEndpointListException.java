package trestlegrade.discovery;

/** What discovery sent is not an endpoint list, or an entry of it lacks what the balancer needs. */
public final class MalformedEndpointListException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message names the field and what is wrong with it. */
    public MalformedEndpointListException(String message) {
        super(message);
    }
}
