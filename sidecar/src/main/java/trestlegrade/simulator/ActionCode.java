package trestlegrade.simulator;

/**
 * Codes of the action records that this process sends to the simulator. Each record begins with the code (u16) and the
 * instance (u16).
 *
 * <table>
 * <caption>Actions</caption>
 * <tr><th>code</th><th>name in the simulator</th><th>name here</th><th>fields after the instance</th></tr>
 * <tr><td>1000</td><td>deliver</td><td>SEND</td><td>transaction u32, endpoint u32, timeout f64 ms</td></tr>
 * <tr><td>1010</td><td>push_back</td><td>REJECT</td><td>transaction u32, Retry-After f64 ms</td></tr>
 * <tr><td>1020</td><td>finish_error</td><td>FAIL</td><td>transaction u32</td></tr>
 * <tr><td>1030</td><td>retract</td><td>CANCEL</td><td>transaction u32, attempt u8</td></tr>
 * <tr><td>1040</td><td>notify_me</td><td>SET_TIMER</td><td>delay f64 ms, token u64</td></tr>
 * <tr><td>1090</td><td>give_in</td><td>FAULT</td><td>message (u16 length, text)</td></tr>
 * <tr><td>1100</td><td>follow</td><td>WATCH</td><td>on u8</td></tr>
 * </table>
 *
 * <p>Not used: check (1050), let_go (1060), share (1070), trace (1080), pull (1110).
 */
enum ActionCode {
    SEND(1000),
    REJECT(1010),
    FAIL(1020),
    CANCEL(1030),
    SET_TIMER(1040),
    FAULT(1090),
    WATCH(1100);

    final short code;

    ActionCode(int code) {
        this.code = (short) code;
    }
}
