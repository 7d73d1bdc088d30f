package trestlegrade.simulator;

import java.io.IOException;

/** Thrown if the simulator's input violates the protocol, so that the rest of the input cannot be read either. */
public final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message says which part of the frame is malformed. */
    public MalformedFrameException(String message) {
        super(message);
    }
}
