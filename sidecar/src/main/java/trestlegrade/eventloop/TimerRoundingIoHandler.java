package trestlegrade.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import trestlegrade.metrics.Counters;

/**
 * An I/O handler of Netty that rounds the wait for the next timer up to whole milliseconds.
 *
 * <p>A selector waits in whole milliseconds, and Netty rounds to the nearest one. With up to half a millisecond left,
 * Netty polls the selector without a wait until the timer is due, and an idle event loop uses processor time. With
 * rounding up, a timer runs at most one millisecond late.
 */
public final class TimerRoundingIoHandler implements IoHandler {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final IoHandler delegate;
    private final Counters.Turns turns;
    private final RoundingContext roundingContext = new RoundingContext();

    private TimerRoundingIoHandler(IoHandler delegate, Counters.Turns turns) {
        this.delegate = delegate;
        this.turns = turns;
    }

    /** Returns a factory whose handlers round up and count the iterations of their event loops. */
    public static IoHandlerFactory wrap(IoHandlerFactory delegate, Counters.Turns turns) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new TimerRoundingIoHandler(delegate.newHandler(executor), turns);
            }

            @Override
            public boolean isChangingThreadSupported() {
                return delegate.isChangingThreadSupported();
            }
        };
    }

    /**
     * Rounds nanoseconds up to whole milliseconds. A delay of 0 or less means that the timer is due, and the largest
     * value means that there is no timer; both are returned unchanged.
     */
    static long roundUpToMillis(long delayNanos) {
        return delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI
                ? delayNanos
                : (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    @Override
    public int run(IoHandlerContext context) {
        roundingContext.delegate = context;
        int handled = delegate.run(roundingContext);
        turns.count(handled);
        return handled;
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handle) {
        return delegate.isCompatible(handle);
    }

    /** Delegates to the context of the current iteration, and rounds its delay up. */
    private static final class RoundingContext implements IoHandlerContext {
        private IoHandlerContext delegate;

        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return roundUpToMillis(delegate.delayNanos(now));
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            delegate.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return delegate.shouldReportActiveIoTime();
        }
    }
}
