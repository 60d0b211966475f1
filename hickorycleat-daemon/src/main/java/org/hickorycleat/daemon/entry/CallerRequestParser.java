package org.hickorycleat.daemon.entry;

import io.javalin.http.Context;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.hickorycleat.logic.invocation.ManifestKeyMapping;
import org.hickorycleat.logic.retry.CallerRequest;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.ServiceName;
import org.hickorycleat.model.identifier.TeamName;
import org.hickorycleat.model.manifest.Criticality;
import org.hickorycleat.model.manifest.Manifest;
import org.hickorycleat.model.manifest.ServiceSpecification;
import org.hickorycleat.model.message.HttpHeader;
import org.hickorycleat.model.result.ResultCode;

/** Validates a caller's HTTP request and converts it to a {@link CallerRequest}. */
final class CallerRequestParser {
    static final String PATH_PREFIX = "/services/";

    private static final long DEFAULT_DEADLINE_MS = 10_000;
    private static final long MAXIMUM_DEADLINE_MS = 600_000;
    private static final Pattern DEADLINE_PATTERN = Pattern.compile("[0-9]{1,9}");
    private static final Pattern KEY_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,128}");
    private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");

    private final Context mContext;
    private final Manifest mManifest;

    private CallerRequestParser(Context context, Manifest manifest) {
        mContext = context;
        mManifest = manifest;
    }

    /** Parses a request; the left side is the reason for a rejection. */
    static Either<ResultCode, CallerRequest> parse(Context context, Manifest manifest) {
        return new CallerRequestParser(context, manifest).parse();
    }

    private Either<ResultCode, CallerRequest> parse() {
        String servicePath = mContext.req().getRequestURI().substring(PATH_PREFIX.length());
        int slash = servicePath.indexOf('/');
        String name = slash < 0 ? servicePath : servicePath.substring(0, slash);
        if (name.isBlank()) {
            return Either.left(ResultCode.UNKNOWN_SERVICE);
        }
        Optional<ServiceSpecification> service = mManifest.service(new ServiceName(name));
        if (service.isEmpty()) {
            return Either.left(ResultCode.UNKNOWN_SERVICE);
        }
        String query = mContext.queryString();
        String path = slash < 0 ? "/" : servicePath.substring(slash);
        return parse(service.get(), query == null ? path : path + "?" + query);
    }

    private Either<ResultCode, CallerRequest> parse(ServiceSpecification service, String path) {
        Either<ResultCode, TeamName> team = team(service);
        Either<ResultCode, Criticality> criticality = criticality(service);
        Either<ResultCode, Long> deadline = deadline();
        Either<ResultCode, Optional<IdempotencyKey>> key = key();
        Either<ResultCode, Boolean> idempotent = idempotent(service);
        for (Either<ResultCode, ?> parsed : List.of(team, criticality, deadline, key, idempotent)) {
            if (parsed.isLeft()) {
                return Either.left(parsed.getLeft());
            }
        }
        byte[] body = mContext.bodyAsBytes();
        String method = mContext.req().getMethod();
        if (body.length > 0 && METHODS_WITHOUT_BODY.contains(method)) {
            return Either.left(ResultCode.MALFORMED_REQUEST);
        }
        CallerRequest.Builder request =
                CallerRequest.builder(service.name(), team.get())
                        .method(method)
                        .path(path)
                        .headers(headers())
                        .body(body)
                        .criticality(criticality.get())
                        .remainingMs(deadline.get())
                        .idempotent(idempotent.get())
                        .mappingVersion(ManifestKeyMapping.version(service));
        key.get().ifPresent(request::idempotencyKey);
        return Either.right(request.build());
    }

    private Either<ResultCode, TeamName> team(ServiceSpecification service) {
        Optional<String> text = header("Hickorycleat-Team");
        if (text.isEmpty()) {
            return Either.right(service.team());
        }
        if (text.get().isBlank() || mManifest.team(new TeamName(text.get())).isEmpty()) {
            return Either.left(ResultCode.UNKNOWN_TEAM);
        }
        return Either.right(new TeamName(text.get()));
    }

    private Either<ResultCode, Criticality> criticality(ServiceSpecification service) {
        Optional<String> text = header("Hickorycleat-Criticality");
        if (text.isEmpty()) {
            return Either.right(service.criticality());
        }
        return Criticality.ofWireName(text.get())
                .<Either<ResultCode, Criticality>>map(Either::right)
                .orElseGet(() -> Either.left(ResultCode.INVALID_CRITICALITY));
    }

    private Either<ResultCode, Long> deadline() {
        Optional<String> text = header("Hickorycleat-Deadline-Ms");
        if (text.isEmpty()) {
            return Either.right(DEFAULT_DEADLINE_MS);
        }
        if (!DEADLINE_PATTERN.matcher(text.get()).matches()) {
            return Either.left(ResultCode.INVALID_DEADLINE);
        }
        long deadlineMs = Long.parseLong(text.get());
        return deadlineMs >= 1 && deadlineMs <= MAXIMUM_DEADLINE_MS
                ? Either.right(deadlineMs)
                : Either.left(ResultCode.INVALID_DEADLINE);
    }

    private Either<ResultCode, Optional<IdempotencyKey>> key() {
        Optional<String> text = header("Idempotency-Key");
        if (text.isEmpty()) {
            return Either.right(Optional.empty());
        }
        return KEY_PATTERN.matcher(text.get()).matches()
                ? Either.right(Optional.of(new IdempotencyKey(text.get())))
                : Either.left(ResultCode.INVALID_IDEMPOTENCY_KEY);
    }

    private Either<ResultCode, Boolean> idempotent(ServiceSpecification service) {
        Optional<String> text = header("Hickorycleat-Idempotent");
        if (text.isEmpty()) {
            return Either.right(service.idempotentMethods().contains(mContext.req().getMethod()));
        }
        return switch (text.get()) {
            case "true" -> Either.right(true);
            case "false" -> Either.right(false);
            default -> Either.left(ResultCode.MALFORMED_REQUEST);
        };
    }

    private List<HttpHeader> headers() {
        List<HttpHeader> headers = new ArrayList<>();
        for (String name : Collections.list(mContext.req().getHeaderNames())) {
            // The agent sets a new deadline header; this project's other headers have no meaning to
            // targets.
            if (name.toLowerCase(Locale.ROOT).startsWith("hickorycleat-")) {
                continue;
            }
            for (String value : Collections.list(mContext.req().getHeaders(name))) {
                headers.add(new HttpHeader(name, value));
            }
        }
        return headers;
    }

    private Optional<String> header(String name) {
        return Optional.ofNullable(mContext.header(name));
    }
}
