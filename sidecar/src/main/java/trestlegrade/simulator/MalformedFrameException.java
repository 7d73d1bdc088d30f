package trestlegrade.simulator;

import java.io.IOException;

/** The simulator's input is no frame of the protocol; nothing that follows can be read. */
public final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    /** The message says which part of the frame is malformed. */
    public MalformedFrameException(String message) {
        super(message);
    }
}
