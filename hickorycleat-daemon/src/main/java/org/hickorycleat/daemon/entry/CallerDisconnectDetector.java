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
 * Notices callers that went away while their request waits.
 *
 * <p>The HTTP server does not read from a connection while it handles a request, so it would learn
 * of a closed connection only when it writes the answer.
 */
final class CallerDisconnectDetector {
    private final Set<Caller> mCallers = ConcurrentHashMap.newKeySet();

    /** Watches the caller of a request; {@code onGone} is called once if it goes away. */
    Caller watch(Context context, Runnable onGone) {
        EndPoint connection =
                ServletContextRequest.getServletContextRequest(context.req())
                        .getConnectionMetaData()
                        .getConnection()
                        .getEndPoint();
        Caller caller = new Caller(connection, onGone);
        mCallers.add(caller);
        return caller;
    }

    /** Looks at every connection once. */
    void check() {
        List<Caller> gone = mCallers.stream().filter(Caller::isGone).toList();
        gone.forEach(mCallers::remove);
        gone.forEach(caller -> caller.mOnGone.run());
    }

    /** A caller that waits for its answer. */
    final class Caller {
        private final EndPoint mConnection;
        private final Runnable mOnGone;
        private boolean mAnswered;
        private boolean mReadTooFar;

        private Caller(EndPoint connection, Runnable onGone) {
            mConnection = connection;
            mOnGone = onGone;
        }

        /**
         * The answer is about to be written; the server reads from the connection again.
         *
         * @return whether the connection must be closed after the answer
         */
        synchronized boolean answered() {
            mAnswered = true;
            mCallers.remove(this);
            return mReadTooFar;
        }

        private synchronized boolean isGone() {
            if (mAnswered || mReadTooFar) {
                return false;
            }
            try {
                int read = mConnection.fill(BufferUtil.allocate(1));
                // A caller that sends its next request before this answer loses its first byte.
                mReadTooFar = read > 0;
                return read < 0;
            } catch (IOException e) {
                return true;
            }
        }
    }
}
