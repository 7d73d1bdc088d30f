package trestlegrade.discovery;

/** Thrown if a message of discovery is not an endpoint list, or an entry lacks a field that the balancer needs. */
public final class MalformedEndpointListException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that names the field and what is wrong with it. */
    public MalformedEndpointListException(String message) {
        super(message);
    }
}
