import java.util.List;

/** The check of the rule on drains. */
final class DrainCheck {
    private DrainCheck() {}

    /** Returns whether the endpoint got nothing new after the limit. A send counts from its first byte. */
    static boolean held(Recorder recorder, Endpoints endpoints, int endpoint, double limit) {
        List<Endpoints.Arrival> late = endpoints.arrivals().stream()
                .filter(arrival -> arrival.endpoint() == endpoint && arrival.firstByteAt() > limit)
                .toList();
        recorder.report("sent to %s after the limit at %.1f: %d", Endpoints.name(endpoint), limit, late.size());
        late.forEach(arrival -> recorder.add(
                "late by %.1f ms: %s to %s",
                arrival.firstByteAt() - limit, arrival.traceId(), Endpoints.name(endpoint)));
        return late.isEmpty();
    }
}
