package org.hickorycleat.measurements.capacity;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hickorycleat.daemon.transport.MessageConnection;
import org.hickorycleat.daemon.transport.MessageListener;
import org.hickorycleat.daemon.transport.MessageTransport;
import org.hickorycleat.daemon.transport.TransportMetrics;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.Incarnation;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.RackId;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.SessionNumber;
import org.hickorycleat.model.identifier.WorkerId;
import org.hickorycleat.model.identifier.ZoneId;
import org.hickorycleat.model.message.AgentReport;
import org.hickorycleat.model.message.Hello;
import org.hickorycleat.model.message.LoadSignal;
import org.hickorycleat.model.message.Message;
import org.hickorycleat.model.message.ProcessRole;
import org.hickorycleat.model.message.TargetReport;
import org.hickorycleat.model.message.TargetState;
import org.hickorycleat.model.message.WorkerSummary;
import org.hickorycleat.model.task.Resources;

/** Simulates many agents, each with one target and one worker, that connect to an entry. */
public final class AgentSwarm {
    private static final long REPORT_INTERVAL_MS = 1_000;
    private static final int THREADS = 2;

    private final List<MessageConnection> mConnections = new ArrayList<>();
    private final MessageTransport mTransport =
            new MessageTransport(THREADS, new TransportMetrics(new SimpleMeterRegistry()));
    private final long mIncarnation = System.currentTimeMillis();

    private AgentSwarm() {}

    /**
     * Runs the agents for a given time and prints how many were connected at its end.
     *
     * @param arguments port of the entry, number of agents and time to run in seconds
     */
    public static void main(String[] arguments) throws InterruptedException {
        int port = Integer.parseInt(arguments[0]);
        int agents = Integer.parseInt(arguments[1]);
        new AgentSwarm().run(port, agents, Long.parseLong(arguments[2]));
        System.exit(0);
    }

    private void run(int port, int agents, long seconds) throws InterruptedException {
        InetSocketAddress entry = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        for (int agent = 0; agent < agents; agent++) {
            Agent listener = new Agent(agent);
            mTransport.connect(entry, listener, cause -> System.err.println("event=" + cause));
            var unused =
                    timer.scheduleAtFixedRate(
                            listener::report,
                            REPORT_INTERVAL_MS * agent / agents,
                            REPORT_INTERVAL_MS,
                            TimeUnit.MILLISECONDS);
        }
        TimeUnit.SECONDS.sleep(seconds);
        timer.shutdownNow();
        System.out.println("swarm.connected=" + connected());
        mTransport.close();
    }

    private synchronized int connected() {
        return mConnections.size();
    }

    private synchronized void add(MessageConnection connection) {
        mConnections.add(connection);
    }

    private synchronized void remove(MessageConnection connection) {
        mConnections.remove(connection);
    }

    /** Simulates one agent. */
    private final class Agent implements MessageListener {
        private final int mNumber;
        private volatile Optional<MessageConnection> mConnection = Optional.empty();

        private Agent(int number) {
            mNumber = number;
        }

        @Override
        public void onOpen(MessageConnection connection) {
            add(connection);
            connection.send(
                    new Hello(
                            1,
                            new ProcessId("swarm-" + mNumber),
                            ProcessRole.AGENT,
                            new Incarnation(mIncarnation),
                            new SessionNumber(1),
                            new ZoneId("zone-" + mNumber % 8),
                            Optional.empty()));
            mConnection = Optional.of(connection);
        }

        @Override
        public void onMessage(MessageConnection connection, Message message) {
            // Ignored, because only the cost at the entry is measured.
        }

        @Override
        public void onClose(MessageConnection connection) {
            remove(connection);
        }

        private void report() {
            mConnection.ifPresent(connection -> connection.send(newReport()));
        }

        private AgentReport newReport() {
            return new AgentReport(
                    mNumber,
                    new ConfigurationVersion(0),
                    List.of(
                            new TargetReport(
                                    new ServiceName("booking"),
                                    new InstanceNumber(mNumber),
                                    TargetState.READY,
                                    8,
                                    64,
                                    new LoadSignal(1, 0, 5_000))),
                    Optional.of(
                            new WorkerSummary(
                                    new WorkerId("worker-" + mNumber),
                                    new Incarnation(mIncarnation),
                                    new RackId("rack-" + mNumber / 3),
                                    new Resources(16_000, 60_000, 2),
                                    List.of())));
        }
    }
}
