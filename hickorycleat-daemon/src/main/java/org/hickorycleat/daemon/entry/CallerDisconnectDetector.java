package org.hickorycleat.daemon.entry;

import io.javalin.http.Context;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Detects callers that disconnect while their request is in progress.
 *
 * <p>The HTTP server does not read from a connection while it handles a request, so it would detect
 * a closed connection only when it writes the response.
 */
final class CallerDisconnectDetector {
    private final Set<Caller> mCallers = ConcurrentHashMap.newKeySet();

    /** Watches the caller of a request; {@code onDisconnect} is called once if it disconnects. */
    Caller watch(Context context, Runnable onDisconnect) {
        EndPoint connection =
                ServletContextRequest.getServletContextRequest(context.req())
                        .getConnectionMetaData()
                        .getConnection()
                        .getEndPoint();
        Caller caller = new Caller(connection, onDisconnect);
        mCallers.add(caller);
        return caller;
    }

    /** Checks every watched connection once. */
    void checkConnections() {
        List<Caller> disconnected = mCallers.stream().filter(Caller::isDisconnected).toList();
        disconnected.forEach(mCallers::remove);
        disconnected.forEach(caller -> caller.mOnDisconnect.run());
    }

    /** A caller that waits for a response. */
    final class Caller {
        private final EndPoint mConnection;
        private final Runnable mOnDisconnect;
        private boolean mResponseStarted;
        private boolean mConsumedNextRequest;

        private Caller(EndPoint connection, Runnable onDisconnect) {
            mConnection = connection;
            mOnDisconnect = onDisconnect;
        }

        /**
         * Stops watching the connection before the response is written and the server reads from it
         * again.
         *
         * @return whether the connection must be closed after the response
         */
        synchronized boolean startResponse() {
            mResponseStarted = true;
            mCallers.remove(this);
            return mConsumedNextRequest;
        }

        private synchronized boolean isDisconnected() {
            if (mResponseStarted || mConsumedNextRequest) {
                return false;
            }
            try {
                int read = mConnection.fill(BufferUtil.allocate(1));
                // If the caller has already sent its next request, the first byte of that request
                // is lost.
                mConsumedNextRequest = read > 0;
                return read < 0;
            } catch (IOException e) {
                return true;
            }
        }
    }
}
