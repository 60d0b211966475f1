package org.hickorycleat.daemon;

import org.hickorycleat.daemon.logging.EventLog;

/**
 * Ignores SIGHUP, which would otherwise end the process.
 *
 * <p>The JDK's signal API is internal and is called by reflection because the compiler warns of any
 * direct use.
 */
final class HangupSignal {
    private static final EventLog LOG = EventLog.of(HangupSignal.class);

    private HangupSignal() {}

    /** Ignores every further SIGHUP. */
    static void ignore() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            // A handler of our own would be a proxy, whose class is generated at run time.
            Object ignored = handler.getField("SIG_IGN").get(null);
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, ignored);
        } catch (ReflectiveOperationException e) {
            LOG.event("hangup_unhandled").with("cause", e).warn();
        }
    }
}
