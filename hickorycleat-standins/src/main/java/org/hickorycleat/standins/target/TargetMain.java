package org.hickorycleat.standins.target;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Runs the stand-in of a target as a process. */
public final class TargetMain {
    private TargetMain() {}

    /** Starts the server of the target and its periodic announcements. */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        parser.accepts("port").withRequiredArg().ofType(Integer.class).required();
        parser.accepts("agent").withRequiredArg().required();
        parser.accepts("service").withRequiredArg().required();
        parser.accepts("instance").withRequiredArg().ofType(Integer.class).required();
        parser.accepts("slots").withRequiredArg().ofType(Integer.class).defaultsTo(8);
        parser.accepts("connections").withRequiredArg().ofType(Integer.class).defaultsTo(64);
        parser.accepts("service-ms").withRequiredArg().ofType(Double.class).defaultsTo(5.0);
        OptionSet options = parser.parse(arguments);
        int port = (Integer) options.valueOf("port");

        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        TargetBehaviour behaviour =
                new TargetBehaviour(
                        timer,
                        (Integer) options.valueOf("slots"),
                        (Double) options.valueOf("service-ms"));
        TargetServer server = new TargetServer(behaviour);
        server.start(port);
        TargetAnnouncer announcer =
                new TargetAnnouncer(
                        (String) options.valueOf("agent"),
                        (String) options.valueOf("service"),
                        (Integer) options.valueOf("instance"),
                        port,
                        (Integer) options.valueOf("slots"),
                        (Integer) options.valueOf("connections"),
                        behaviour::isLeaving);
        announcer.start(timer);
    }
}
