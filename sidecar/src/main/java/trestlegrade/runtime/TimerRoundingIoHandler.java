package trestlegrade.runtime;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import trestlegrade.metrics.Counters;

/**
 * Netty's reader of sockets, but its loop sleeps until the next timer is due. A selector waits in whole milliseconds,
 * and Netty rounds to the nearest: with up to half a millisecond left it asked the selector again and again, without a
 * wait, until the timer was due. With a beat of 10 ms that was up to a twentieth of a core; where a look at the
 * selector costs more than the clock moves on (each is a trap on the fleet days), a loop whose timers happened to fall
 * so never rested (docs/incidents). Here what is left is rounded up: a timer comes a millisecond late at the most.
 */
public final class TimerRoundingIoHandler implements IoHandler {
    private static final long MILLISECOND = 1_000_000;

    private final IoHandler usual;
    private final Counters.Turns turns;

    private TimerRoundingIoHandler(IoHandler usual, Counters.Turns turns) {
        this.usual = usual;
        this.turns = turns;
    }

    public static IoHandlerFactory over(IoHandlerFactory usual, Counters.Turns turns) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new TimerRoundingIoHandler(usual.newHandler(executor), turns);
            }

            @Override
            public boolean isChangingThreadSupported() {
                return usual.isChangingThreadSupported();
            }
        };
    }

    /** In nanoseconds; 0 or less is due, and the largest value means that nothing ever is. */
    static long wholeMilliseconds(long delay) {
        return delay <= 0 || delay > Long.MAX_VALUE - MILLISECOND
                ? delay
                : (delay + MILLISECOND - 1) / MILLISECOND * MILLISECOND;
    }

    @Override
    public int run(IoHandlerContext context) {
        told = context;
        int handled = usual.run(rounded);
        turns.count(handled);
        return handled;
    }

    private IoHandlerContext told;
    private final IoHandlerContext rounded = new IoHandlerContext() {
        @Override
        public boolean canBlock() {
            return told.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return wholeMilliseconds(told.delayNanos(now));
        }

        @Override
        public long deadlineNanos() {
            return told.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            told.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return told.shouldReportActiveIoTime();
        }
    };

    @Override
    public void initialize() {
        usual.initialize();
    }

    @Override
    public void prepareToDestroy() {
        usual.prepareToDestroy();
    }

    @Override
    public void destroy() {
        usual.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return usual.register(handle);
    }

    @Override
    public void wakeup() {
        usual.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handle) {
        return usual.isCompatible(handle);
    }
}
