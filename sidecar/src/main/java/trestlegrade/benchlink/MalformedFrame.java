package trestlegrade.benchlink;

import java.io.IOException;

/** What came in is not a frame of the wire. */
public final class MalformedFrame extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedFrame(String message) {
        super(message);
    }
}
