package trestlegrade.eventloop;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

/**
 * The event loop that a sidecar runs on, with its clock and the measurement of its lag.
 *
 * @param vertx sets the timers and opens the sockets
 * @param context the context whose thread owns all state; other threads submit work through it
 * @param clock the time in ticks
 * @param lag how late the event loop runs
 */
public record EventLoopContext(Vertx vertx, Context context, MonotonicClock clock, EventLoopLag lag) {}
