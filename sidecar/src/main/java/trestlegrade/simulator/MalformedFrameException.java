package trestlegrade.simulator;

import java.io.IOException;

/** What came in is not a frame of the wire. */
public final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    public MalformedFrameException(String message) {
        super(message);
    }
}
