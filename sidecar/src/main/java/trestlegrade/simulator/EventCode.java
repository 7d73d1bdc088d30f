package trestlegrade.simulator;

/**
 * Codes of the event records that the simulator sends to this process. Each record begins with the code (u16) and,
 * except for {@link #ENDPOINT_LIST}, the instance (u16).
 *
 * <table>
 * <caption>Events</caption>
 * <tr><th>code</th><th>name in the simulator</th><th>name here</th><th>fields after the instance</th></tr>
 * <tr><td>1000</td><td>spawn</td><td>START</td><td>seed u64, settings (u32 length, text)</td></tr>
 * <tr><td>1010</td><td>announce</td><td>ENDPOINT_LIST_UPDATE</td><td>version u32, scope u8, list u32</td></tr>
 * <tr><td>1020</td><td>job_in</td><td>ARRIVAL</td><td>transaction u32, profile u8, customer u32, key u64,
 *     timeout f64 ms, cost f64 ms, flags u16</td></tr>
 * <tr><td>1030</td><td>begun</td><td>STREAM_STARTED</td><td>transaction u32, attempt u8, endpoint u32, age f64
 *     ms</td></tr>
 * <tr><td>1040</td><td>verdict</td><td>ATTEMPT_ENDED</td><td>transaction u32, attempt u8, endpoint u32, outcome u8,
 *     duration f64 ms, closed u8, load report (u8 count, f32 each)</td></tr>
 * <tr><td>1050</td><td>left</td><td>CLIENT_DISCONNECTED</td><td>transaction u32</td></tr>
 * <tr><td>1060</td><td>reminder</td><td>TIMER</td><td>token u64</td></tr>
 * <tr><td>1070</td><td>ping_result</td><td>HEALTH_CHECK_ENDED</td><td>duration f64, outcome u8, endpoint u32, load
 *     report; ignored</td></tr>
 * <tr><td>1080</td><td>datagram</td><td>PEER_MESSAGE</td><td>sender u16, data (u16 length, bytes); ignored</td></tr>
 * <tr><td>1090</td><td>shutdown</td><td>STOP</td><td></td></tr>
 * <tr><td>1100</td><td>snapshot_rows</td><td>ENDPOINT_LIST</td><td>(no instance) list u32, rows (u32 count, 22 bytes
 *     each: endpoint u32, zone u8, instance type u16, cell u16, state u8, weight f32, launch time f64 ms)</td></tr>
 * </table>
 */
enum EventCode {
    START(1000),
    ENDPOINT_LIST_UPDATE(1010),
    ARRIVAL(1020),
    STREAM_STARTED(1030),
    ATTEMPT_ENDED(1040),
    CLIENT_DISCONNECTED(1050),
    TIMER(1060),
    HEALTH_CHECK_ENDED(1070),
    PEER_MESSAGE(1080),
    STOP(1090),
    ENDPOINT_LIST(1100);

    private static final int FIRST = 1000;
    private static final int STEP = 10;
    private static final EventCode[] VALUES = values();

    private final int code;

    EventCode(int code) {
        this.code = code;
    }

    static EventCode of(int code) throws MalformedFrameException {
        int index = (code - FIRST) / STEP;
        if (code < FIRST || index >= VALUES.length || VALUES[index].code != code) {
            throw new MalformedFrameException("unknown record code: " + code);
        }
        return VALUES[index];
    }
}
