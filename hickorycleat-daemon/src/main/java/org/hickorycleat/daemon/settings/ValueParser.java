package org.hickorycleat.daemon.settings;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the text of one setting; the left side describes the expected format. */
@FunctionalInterface
interface ValueParser<T> {
    /** Returns the parsed value or the expected format. */
    Either<String, T> parse(String text);

    Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
    Map<String, Long> UNIT_MS = Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L);
    int MAXIMUM_PORT = 65_535;

    /** Parses a text that is not blank. */
    static Either<String, String> text(String text) {
        return text.isBlank() ? Either.left("expected a text") : Either.right(text.strip());
    }

    /** Parses a name of letters, digits, dots, underscores and dashes. */
    static Either<String, String> name(String text) {
        return text.matches("[A-Za-z0-9._-]{1,64}")
                ? Either.right(text)
                : Either.left("expected 1 to 64 letters, digits, '.', '_' or '-'");
    }

    /** Parses an HTTP address with a port. */
    static Either<String, String> url(String text) {
        return text.matches("http://[^/\\s]+:\\d{1,5}")
                ? Either.right(text)
                : Either.left("expected http://host:port");
    }

    /** Parses a host and port. */
    static Either<String, InetSocketAddress> address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            return Either.left("expected host:port");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > MAXIMUM_PORT) {
            return Either.left("expected a port from 1 to 65535");
        }
        return Either.right(new InetSocketAddress(text.substring(0, colon), port));
    }

    /** Parses host and port pairs separated by commas. */
    static Either<String, List<InetSocketAddress>> addresses(String text) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String part : text.split(",")) {
            Either<String, InetSocketAddress> address = address(part.strip());
            if (address.isLeft()) {
                return Either.left("expected host:port, host:port, ...");
            }
            addresses.add(address.get());
        }
        return Either.right(addresses);
    }

    /** Parses a duration with its unit. */
    static Either<String, Duration> duration(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Either.left("expected a duration with a unit, for example 500ms, 10s, 5m, 1h");
        }
        long unitMs = UNIT_MS.getOrDefault(matcher.group(2), 1L);
        return Either.right(Duration.ofMillis(Long.parseLong(matcher.group(1)) * unitMs));
    }

    /** Returns a parser of whole numbers from 1 to a limit. */
    static Function<String, Either<String, Integer>> positive(int limit) {
        return text -> {
            if (!text.matches("\\d{1,9}")) {
                return Either.left("expected a whole number from 1 to " + limit);
            }
            int number = Integer.parseInt(text);
            return number >= 1 && number <= limit
                    ? Either.right(number)
                    : Either.left("expected a whole number from 1 to " + limit);
        };
    }
}
