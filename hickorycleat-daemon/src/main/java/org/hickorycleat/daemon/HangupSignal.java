package org.hickorycleat.daemon;

import java.lang.reflect.Proxy;
import org.hickorycleat.daemon.logging.EventLog;

/**
 * Handles SIGHUP, which would otherwise end the process.
 *
 * <p>The JDK's signal API is internal and is called by reflection because the compiler warns of any
 * direct use.
 */
public final class HangupSignal {
    private static final EventLog LOG = EventLog.of(HangupSignal.class);

    private HangupSignal() {}

    /** Registers an action to run at every SIGHUP. */
    public static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> invoke(self, method.getName(), action));
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
        } catch (ReflectiveOperationException e) {
            LOG.event("hangup_unhandled").with("cause", e).warn();
        }
    }

    private static Object invoke(Object self, String method, Runnable action) {
        return switch (method) {
            case "handle" -> {
                action.run();
                yield 0;
            }
            case "hashCode" -> System.identityHashCode(self);
            default -> false;
        };
    }
}
