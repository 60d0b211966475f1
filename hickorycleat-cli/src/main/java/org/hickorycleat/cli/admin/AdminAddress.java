package org.hickorycleat.cli.admin;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import okhttp3.HttpUrl;
import org.hickorycleat.cli.CommandFailure;
import org.hickorycleat.model.result.ResultCode;

/**
 * Admin address of a process.
 *
 * @param text address as given on the command line
 * @param url base URL of the process
 */
public record AdminAddress(String text, HttpUrl url) {
    /**
     * Parses addresses of the form IP:PORT; the left side is a usage error for the first invalid
     * one.
     */
    public static Either<CommandFailure, List<AdminAddress>> parseAll(List<String> texts) {
        List<AdminAddress> addresses = new ArrayList<>();
        for (String text : texts) {
            HttpUrl url = HttpUrl.parse("http://" + text);
            if (url == null || !text.matches("[^/?#@]+:\\d+")) {
                return Either.left(
                        new CommandFailure(
                                ResultCode.USAGE, "not an address of the form IP:PORT: " + text));
            }
            addresses.add(new AdminAddress(text, url));
        }
        return Either.right(addresses);
    }
}
