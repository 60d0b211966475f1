package org.hickorycleat.logic.retry;

import java.util.List;
import java.util.Optional;
import org.hickorycleat.model.identifier.ConfigurationVersion;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.message.HttpHeader;

/**
 * A request as submitted by a caller.
 *
 * @param service service that must serve it
 * @param method HTTP method
 * @param path path below the service
 * @param headers headers for the target
 * @param body body for the target
 * @param criticality class for admission control and queueing
 * @param team team of the caller
 * @param remainingMs time from the submission to the deadline in milliseconds
 * @param idempotent whether it may run more than once
 * @param idempotencyKey key under which it must run at most once
 * @param mappingVersion version of the mapping of keys to instances that is active at the entry
 */
@SuppressWarnings("ArrayRecordComponent") // The body is never modified, so it is not copied.
public record CallerRequest(
        ServiceName service,
        String method,
        String path,
        List<HttpHeader> headers,
        byte[] body,
        Criticality criticality,
        TeamName team,
        long remainingMs,
        boolean idempotent,
        Optional<IdempotencyKey> idempotencyKey,
        ConfigurationVersion mappingVersion) {
    /** Copies the headers. */
    public CallerRequest {
        headers = List.copyOf(headers);
    }

    /** Returns a builder of a request. */
    public static Builder builder(ServiceName service, TeamName team) {
        return new Builder(service, team);
    }

    /** Returns whether it may run again after an attempt that may have run. */
    boolean isRepeatable() {
        return idempotent && idempotencyKey.isEmpty();
    }

    /** Builds a {@link CallerRequest}. */
    public static final class Builder {
        private final ServiceName mService;
        private final TeamName mTeam;
        private String mMethod = "GET";
        private String mPath = "/";
        private List<HttpHeader> mHeaders = List.of();
        private byte[] mBody = {};
        private Criticality mCriticality = Criticality.NORMAL;
        private long mRemainingMs = 1_000;
        private boolean mIdempotent;
        private Optional<IdempotencyKey> mIdempotencyKey = Optional.empty();
        private ConfigurationVersion mMappingVersion = new ConfigurationVersion(-1);

        private Builder(ServiceName service, TeamName team) {
            mService = service;
            mTeam = team;
        }

        /** Sets the HTTP method. */
        public Builder method(String method) {
            mMethod = method;
            return this;
        }

        /** Sets the path. */
        public Builder path(String path) {
            mPath = path;
            return this;
        }

        /** Sets the headers. */
        public Builder headers(List<HttpHeader> headers) {
            mHeaders = headers;
            return this;
        }

        /** Sets the body. */
        public Builder body(byte[] body) {
            mBody = body;
            return this;
        }

        /** Sets the criticality. */
        public Builder criticality(Criticality criticality) {
            mCriticality = criticality;
            return this;
        }

        /** Sets the time until the deadline in milliseconds. */
        public Builder remainingMs(long remainingMs) {
            mRemainingMs = remainingMs;
            return this;
        }

        /** Sets whether it may run more than once. */
        public Builder idempotent(boolean idempotent) {
            mIdempotent = idempotent;
            return this;
        }

        /** Sets the key under which it runs at most once. */
        public Builder idempotencyKey(IdempotencyKey idempotencyKey) {
            mIdempotencyKey = Optional.of(idempotencyKey);
            return this;
        }

        /** Sets the version of the active mapping. */
        public Builder mappingVersion(ConfigurationVersion mappingVersion) {
            mMappingVersion = mappingVersion;
            return this;
        }

        /** Builds the request. */
        public CallerRequest build() {
            return new CallerRequest(
                    mService,
                    mMethod,
                    mPath,
                    mHeaders,
                    mBody,
                    mCriticality,
                    mTeam,
                    mRemainingMs,
                    mIdempotent,
                    mIdempotencyKey,
                    mMappingVersion);
        }
    }
}
