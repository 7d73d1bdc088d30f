package trestlegrade.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import trestlegrade.metrics.Counters;

/**
 * Netty's I/O handler, with the wait for the next timer rounded up to whole milliseconds.
 *
 * <p>A selector waits in whole milliseconds and Netty rounds to the nearest. With up to half a millisecond left it asks
 * the selector again and again, without a wait, until the timer is due, which shows as processor time of an idle event
 * loop. Rounded up, a timer comes a millisecond late at most.
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

    /** A factory whose handlers round up and count their turns. */
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

    /** Rounds up nanoseconds; 0 or less means due, and the largest value means that there is no timer. */
    static long wholeMilliseconds(long delayNanos) {
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

    /** The context of the turn under way, but for its delay. */
    private static final class RoundingContext implements IoHandlerContext {
        private IoHandlerContext delegate;

        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return wholeMilliseconds(delegate.delayNanos(now));
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
